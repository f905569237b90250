package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.LeaseGrant;
import io.vanillapoint.core.message.PlacementView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Leases of its own share that one VM has granted and that may still be in use.
 *
 * <p>Invariant: a lease stays in this table until its holder has confirmed a later one, a new
 * incarnation of the holder is seen, or its duration extended by the clock drift has passed. Times
 * are monotonic. Confined to one thread.
 */
final class GrantedLeases {
    private final LimitTiming timing;
    private final Map<VmId, List<ActiveLease>> byHolder = new HashMap<>();
    private long nextSequence;

    /**
     * Creates an empty table.
     *
     * @param timing timing parameters of the protocol
     * @param firstSequence sequence number of the first lease; leases of different incarnations of
     *     this VM are told apart by the incarnation
     */
    GrantedLeases(LimitTiming timing, long firstSequence) {
        this.timing = timing;
        this.nextSequence = firstSequence;
    }

    /** Grants a lease and records it as in use. */
    LeaseGrant grantLease(
            long nowMillis,
            VmId holder,
            long incarnation,
            double share,
            List<PlacementView> views) {
        LeaseGrant grant = new LeaseGrant(nextSequence++, share, timing.leaseMillis(), 0, views);
        long expiryMillis = nowMillis + timing.grantorLeaseMillis(timing.leaseMillis());
        byHolder.computeIfAbsent(holder, vm -> new ArrayList<>())
                .add(new ActiveLease(grant, incarnation, expiryMillis));
        return grant;
    }

    /** True if the holder's lease with this sequence number is in use and has these views. */
    boolean hasViews(VmId holder, long sequence, List<PlacementView> views) {
        return byHolder.getOrDefault(holder, List.of()).stream()
                .map(ActiveLease::grant)
                .anyMatch(grant -> grant.sequence() == sequence && grant.views().equals(views));
    }

    /** Records the newest lease that a holder reports. Earlier leases are no longer in use. */
    void confirm(VmId holder, long incarnation, long heldSequence) {
        List<ActiveLease> leases = byHolder.get(holder);
        if (leases == null) {
            return;
        }
        leases.removeIf(
                lease ->
                        lease.incarnation < incarnation
                                || (lease.incarnation == incarnation
                                        && lease.grant.sequence() < heldSequence));
    }

    /** Removes expired leases. */
    void expire(long nowMillis) {
        Iterator<List<ActiveLease>> iterator = byHolder.values().iterator();
        while (iterator.hasNext()) {
            List<ActiveLease> leases = iterator.next();
            leases.removeIf(lease -> nowMillis >= lease.expiryMillis);
            if (leases.isEmpty()) {
                iterator.remove();
            }
        }
    }

    /** Largest share of any lease in use, 0 if there is none. */
    double largestShare() {
        double largest = 0;
        for (List<ActiveLease> leases : byHolder.values()) {
            for (ActiveLease lease : leases) {
                largest = Math.max(largest, lease.grant.share());
            }
        }
        return largest;
    }

    /** True if every lease in use includes the view. */
    boolean allInclude(PlacementView view) {
        return byHolder.values().stream()
                .flatMap(List::stream)
                .allMatch(lease -> lease.grant.views().contains(view));
    }

    /** A lease in use and the incarnation of its holder. */
    private record ActiveLease(LeaseGrant grant, long incarnation, long expiryMillis) {}
}
