/** Membership, the copy of the platform's store, and the life cycle of an entry VM. */
package io.vanillapoint.entry.control;
