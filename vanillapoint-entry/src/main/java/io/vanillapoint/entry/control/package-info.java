/** Membership, synchronization with the platform's store, and life-cycle timing of an entry VM. */
package io.vanillapoint.entry.control;
