/** Gossip-based membership of the entry VMs, of which no list is published. */
package io.vanillapoint.core.fleet;
