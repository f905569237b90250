package io.vanillapoint.core.message;

import java.util.List;

/**
 * Lease of a VM's share to another VM. It covers the customers whose home is the holder under every
 * one of its views. Immutable.
 *
 * @param sequence number of the lease, rising per giver
 * @param share fraction of the region's rate and burst, from 0 to 1
 * @param durationMillis life of the lease in milliseconds
 * @param viewsOf sequence of the giver's lease that has the same views, so that they are left out;
 *     0 if they are included
 * @param views one or two views, or nothing
 */
public record LeaseGrant(
        long sequence, double share, long durationMillis, long viewsOf, List<HomeView> views) {
    /** Copies the views. */
    public LeaseGrant {
        views = List.copyOf(views);
    }

    /**
     * The same lease with its views included.
     *
     * @param included the views
     * @return this if they are included already
     */
    public LeaseGrant withViews(List<HomeView> included) {
        if (viewsOf == 0) {
            return this;
        }
        return new LeaseGrant(sequence, share, durationMillis, 0, included);
    }

    /**
     * The same lease without its views.
     *
     * @param sameAs sequence of a lease with the same views
     * @return a shorter message
     */
    public LeaseGrant withoutViews(long sameAs) {
        return new LeaseGrant(sequence, share, durationMillis, sameAs, List.of());
    }
}
