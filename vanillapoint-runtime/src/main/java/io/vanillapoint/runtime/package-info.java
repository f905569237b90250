/** Process-level utilities of the daemons: signal handling and metrics export. */
package io.vanillapoint.runtime;
