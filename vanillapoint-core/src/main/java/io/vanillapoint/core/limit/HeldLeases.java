package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.HomeView;
import io.vanillapoint.core.message.LeaseGrant;
import io.vanillapoint.core.message.LeaseName;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Leases of other VMs' shares that one VM holds, one for each giver.
 *
 * <p>Invariant: the sequence of a giver's lease only rises, also after the lease has ended, and a
 * lease is used no longer than its time less drift, counted in cautious time from when it was asked
 * for. Confined to one thread.
 */
final class HeldLeases {
    private final LimitTiming timing;
    private final Map<VmId, Held> byGiver = new HashMap<>();
    private final Map<VmId, Taken> newest = new HashMap<>();

    HeldLeases(LimitTiming timing) {
        this.timing = timing;
    }

    /**
     * Takes a lease.
     *
     * @param giver VM whose share it is
     * @param incarnation process start of the giver
     * @param grant the lease
     * @param askedAtMillis cautious time at which it was asked for
     * @return what changed
     */
    Change accept(VmId giver, long incarnation, LeaseGrant grant, long askedAtMillis) {
        Taken last = newest.getOrDefault(giver, Taken.NOTHING);
        boolean sameProcess = last.name.incarnation() == incarnation;
        if (sameProcess && grant.sequence() <= last.name.sequence()) {
            return Change.NONE;
        }
        boolean viewsKnown =
                grant.viewsOf() == 0 || (sameProcess && grant.viewsOf() == last.name.sequence());
        if (!viewsKnown) {
            return Change.NONE;
        }
        LeaseGrant full = grant.withViews(last.views);
        LeaseName name = new LeaseName(incarnation, grant.sequence());
        newest.put(giver, new Taken(name, full.views()));
        long endMillis = askedAtMillis + timing.holderMillis(grant.durationMillis());
        Held before = byGiver.put(giver, new Held(full, endMillis));
        if (before == null) {
            return Change.GAINED;
        }
        boolean same =
                before.grant.share() == full.share() && before.grant.views().equals(full.views());
        return same ? Change.NONE : Change.ALTERED;
    }

    /** Drops leases whose time has passed and returns their givers. */
    List<VmId> expire(long cautiousMillis) {
        List<VmId> lapsed = new ArrayList<>();
        byGiver.forEach(
                (giver, held) -> {
                    if (cautiousMillis >= held.endMillis) {
                        lapsed.add(giver);
                    }
                });
        lapsed.forEach(byGiver::remove);
        return lapsed;
    }

    /** Newest lease taken from a giver, {@link LeaseName#NONE} if none. */
    LeaseName newest(VmId giver) {
        return newest.getOrDefault(giver, Taken.NOTHING).name;
    }

    Collection<LeaseGrant> grants() {
        return byGiver.values().stream().map(Held::grant).toList();
    }

    /** What a lease changed. */
    enum Change {
        /** Nothing but the end of the lease. */
        NONE,
        /** A share was added. */
        GAINED,
        /** Share or views differ from before. */
        ALTERED
    }

    /** The newest lease of a giver, also after its end. */
    private record Taken(LeaseName name, List<HomeView> views) {
        private static final Taken NOTHING = new Taken(LeaseName.NONE, List.of());
    }

    /** One lease with the cautious time at which it ends. */
    private record Held(LeaseGrant grant, long endMillis) {}
}
