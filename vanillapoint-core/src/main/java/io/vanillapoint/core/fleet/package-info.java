/** Membership of the entry VMs where no list of them is published. */
package io.vanillapoint.core.fleet;
