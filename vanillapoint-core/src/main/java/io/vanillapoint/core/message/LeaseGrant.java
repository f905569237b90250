package io.vanillapoint.core.message;

import java.util.List;

/**
 * Lease of a VM's share to another VM. It covers the customers whose home is the holder under every
 * one of its views. Immutable.
 *
 * @param sequence number of the lease, rising per giver
 * @param share fraction of the region's rate and burst, from 0 to 1
 * @param durationMillis life of the lease in milliseconds
 * @param views one or two views
 */
public record LeaseGrant(long sequence, double share, long durationMillis, List<HomeView> views) {
    /** Copies the views. */
    public LeaseGrant {
        views = List.copyOf(views);
    }
}
