package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.HomeView;
import io.vanillapoint.core.message.LeaseGrant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Leases of its own share that one VM has given and that may still be in use.
 *
 * <p>Invariant: a lease stays in this table until its holder has said that it holds a later one, a
 * new incarnation of the holder has appeared, or its time with drift has passed. Times are
 * monotonic. Confined to one thread.
 */
final class GivenLeases {
    private final LimitTiming timing;
    private final Map<VmId, List<Given>> byHolder = new HashMap<>();
    private long nextSequence;

    /**
     * Creates an empty table.
     *
     * @param timing times of the protocol
     * @param firstSequence number of the first lease; later incarnations must start higher
     */
    GivenLeases(LimitTiming timing, long firstSequence) {
        this.timing = timing;
        this.nextSequence = firstSequence;
    }

    /** Gives a lease. */
    LeaseGrant give(
            long nowMillis, VmId holder, long incarnation, double share, List<HomeView> views) {
        LeaseGrant grant = new LeaseGrant(nextSequence++, share, timing.leaseMillis(), 0, views);
        long endMillis = nowMillis + timing.giverMillis(timing.leaseMillis());
        byHolder.computeIfAbsent(holder, vm -> new ArrayList<>())
                .add(new Given(grant, incarnation, endMillis));
        return grant;
    }

    /** True if a lease of a holder is in use and has the given views. */
    boolean hasViews(VmId holder, long sequence, List<HomeView> views) {
        return byHolder.getOrDefault(holder, List.of()).stream()
                .map(Given::grant)
                .anyMatch(grant -> grant.sequence() == sequence && grant.views().equals(views));
    }

    /** Takes note of what a holder says it holds. Earlier leases are out of use. */
    void confirm(VmId holder, long incarnation, long heldSequence) {
        List<Given> given = byHolder.get(holder);
        if (given == null) {
            return;
        }
        given.removeIf(
                lease ->
                        lease.incarnation < incarnation
                                || (lease.incarnation == incarnation
                                        && lease.grant.sequence() < heldSequence));
    }

    /** Drops leases whose time has passed. */
    void expire(long nowMillis) {
        Iterator<List<Given>> iterator = byHolder.values().iterator();
        while (iterator.hasNext()) {
            List<Given> given = iterator.next();
            given.removeIf(lease -> nowMillis >= lease.endMillis);
            if (given.isEmpty()) {
                iterator.remove();
            }
        }
    }

    /** Largest share that a lease in use gives. */
    double largestShare() {
        double largest = 0;
        for (List<Given> given : byHolder.values()) {
            for (Given lease : given) {
                largest = Math.max(largest, lease.grant.share());
            }
        }
        return largest;
    }

    /** True if every lease in use names a view. */
    boolean allName(HomeView view) {
        return byHolder.values().stream()
                .flatMap(List::stream)
                .allMatch(lease -> lease.grant.views().contains(view));
    }

    /** One lease in use. */
    private record Given(LeaseGrant grant, long incarnation, long endMillis) {}
}
