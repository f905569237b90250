/** Customers' tokens over all VMs where no list of the VMs is published. */
package io.vanillapoint.core.grant;
