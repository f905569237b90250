package io.vanillapoint.core.upstream;

import io.vanillapoint.core.fleet.VmRoster;
import io.vanillapoint.core.published.UpstreamReplica;

/**
 * One VM's part of a replica's slots, so that the VMs of a region together do not exceed them
 * although each knows the load of the others only as of their last heartbeat. The remainder goes to
 * other VMs for each replica. Immutable.
 *
 * @param slots slots of the replica
 * @param own this VM's part
 */
record SlotShare(int slots, int own) {
    /** Computes this VM's part. */
    static SlotShare of(UpstreamReplica replica, VmRoster roster) {
        int slots = Math.max(1, replica.slots());
        int vms = Math.max(1, roster.regionVms().size());
        int remainder = roster.rank(replica.id()) < slots % vms ? 1 : 0;
        return new SlotShare(slots, slots / vms + remainder);
    }

    /**
     * Tells whether this VM may send one more request. It may use twice its part while more than
     * half of the slots are free.
     *
     * @param ownRequests its requests at the replica
     * @param otherRequests requests of other VMs as far as known
     * @return true if there is room
     */
    boolean hasRoom(int ownRequests, int otherRequests) {
        boolean mostlyFree = 2 * (ownRequests + otherRequests) < slots;
        return ownRequests < own || (mostlyFree && ownRequests < 2 * own);
    }
}
