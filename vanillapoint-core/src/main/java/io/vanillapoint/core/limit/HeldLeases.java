package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.LeaseGrant;
import io.vanillapoint.core.message.LeaseId;
import io.vanillapoint.core.message.PlacementView;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Leases of other VMs' shares that one VM holds, at most one per grantor.
 *
 * <p>Invariant: within one incarnation of a grantor, the accepted sequence numbers only increase,
 * also after a lease has expired. A lease is used no longer than its duration shortened by the
 * clock drift, measured in conservative time from when it was requested. Confined to one thread.
 */
final class HeldLeases {
    private final LimitTiming timing;
    private final Map<VmId, ActiveLease> byGrantor = new HashMap<>();
    private final Map<VmId, AcceptedLease> newestByGrantor = new HashMap<>();

    HeldLeases(LimitTiming timing) {
        this.timing = timing;
    }

    /**
     * Accepts a lease, unless it is not newer than the last one of the same grantor process or
     * refers to the views of an unknown lease.
     *
     * @param grantor VM whose share is leased
     * @param incarnation incarnation of the grantor
     * @param grant the lease
     * @param requestedAtMillis conservative time at which it was requested
     * @return what changed
     */
    Change accept(VmId grantor, long incarnation, LeaseGrant grant, long requestedAtMillis) {
        AcceptedLease last = newestByGrantor.getOrDefault(grantor, AcceptedLease.NONE);
        boolean sameProcess = last.id.incarnation() == incarnation;
        if (sameProcess && grant.sequence() <= last.id.sequence()) {
            return Change.NONE;
        }
        boolean viewsKnown =
                grant.viewsOf() == 0 || (sameProcess && grant.viewsOf() == last.id.sequence());
        if (!viewsKnown) {
            return Change.NONE;
        }
        LeaseGrant resolved = grant.withViews(last.views);
        LeaseId id = new LeaseId(incarnation, grant.sequence());
        newestByGrantor.put(grantor, new AcceptedLease(id, resolved.views()));
        long expiryMillis = requestedAtMillis + timing.holderLeaseMillis(grant.durationMillis());
        ActiveLease previous = byGrantor.put(grantor, new ActiveLease(resolved, expiryMillis));
        if (previous == null) {
            return Change.GAINED;
        }
        boolean same =
                previous.grant.share() == resolved.share()
                        && previous.grant.views().equals(resolved.views());
        return same ? Change.NONE : Change.ALTERED;
    }

    /** Removes expired leases and returns their grantors. */
    List<VmId> expire(long conservativeMillis) {
        List<VmId> expired = new ArrayList<>();
        byGrantor.forEach(
                (grantor, held) -> {
                    if (conservativeMillis >= held.expiryMillis) {
                        expired.add(grantor);
                    }
                });
        expired.forEach(byGrantor::remove);
        return expired;
    }

    /** Newest lease accepted from a grantor, {@link LeaseId#NONE} if none. */
    LeaseId newest(VmId grantor) {
        return newestByGrantor.getOrDefault(grantor, AcceptedLease.NONE).id;
    }

    Collection<LeaseGrant> grants() {
        return byGrantor.values().stream().map(ActiveLease::grant).toList();
    }

    /** Effect of a received lease on the held shares. */
    enum Change {
        /** The lease was ignored or only renewed. */
        NONE,
        /** A lease from a grantor of which none was held. */
        GAINED,
        /** The share or the views changed. */
        ALTERED
    }

    /** The newest lease accepted from a grantor, kept after it expires. */
    private record AcceptedLease(LeaseId id, List<PlacementView> views) {
        private static final AcceptedLease NONE = new AcceptedLease(LeaseId.NONE, List.of());
    }

    /** A lease and the conservative time at which it expires. */
    private record ActiveLease(LeaseGrant grant, long expiryMillis) {}
}
