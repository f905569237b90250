package io.vanillapoint.core.message;

import java.util.List;

/**
 * Lease of a VM's share to another VM. It covers the customers whose home is the holder under every
 * one of its views. Immutable.
 *
 * @param sequence sequence number of the lease, increasing per process of the grantor
 * @param share fraction of the region's rate and burst, from 0 to 1
 * @param durationMillis duration of the lease in milliseconds
 * @param viewsOf sequence number of an earlier lease of the same grantor with the same views, if
 *     the views are omitted; 0 if they are included
 * @param views one or two views, empty if omitted
 */
public record LeaseGrant(
        long sequence, double share, long durationMillis, long viewsOf, List<PlacementView> views) {
    /** Copies the views. */
    public LeaseGrant {
        views = List.copyOf(views);
    }

    /**
     * The same lease with its views included.
     *
     * @param included the views
     * @return a copy with the views, or this if they are already included
     */
    public LeaseGrant withViews(List<PlacementView> included) {
        if (viewsOf == 0) {
            return this;
        }
        return new LeaseGrant(sequence, share, durationMillis, 0, included);
    }

    /**
     * The same lease without its views.
     *
     * @param earlierSequence sequence number of a lease with the same views
     * @return a copy without views
     */
    public LeaseGrant withoutViews(long earlierSequence) {
        return new LeaseGrant(sequence, share, durationMillis, earlierSequence, List.of());
    }
}
