/** Limits on the memory that a VM uses for what others send. */
package io.vanillapoint.core.memory;
