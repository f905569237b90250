package io.vanillapoint.core.fleet;

import io.vanillapoint.core.hash.Rendezvous;
import io.vanillapoint.core.published.StorePosition;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * What other VMs know of the platform's store. Reads the view and holds no state of its own.
 * Confined to the thread of the view.
 */
public final class StoreVms {
    private final FleetView fleet;

    /**
     * Creates the list of a view.
     *
     * @param fleet view of all VMs
     */
    public StoreVms(FleetView fleet) {
        this.fleet = fleet;
    }

    /**
     * Tells whether a VM has reached a later position of the store.
     *
     * @param position position that this VM has reached
     * @param nowMillis monotonic time
     * @return true if there is something to copy
     */
    public boolean anyAhead(StorePosition position, long nowMillis) {
        return source(position, Set.of(), nowMillis).isPresent();
    }

    /**
     * Finds a VM that has reached a later position of the store, one of the given VMs only if there
     * is no other. Among equally good ones, each VM that is behind prefers another, which spreads
     * the load.
     *
     * @param position position that this VM has reached
     * @param avoided names of VMs that did not answer
     * @param nowMillis monotonic time
     * @return the VM with the latest position, or empty if none has a later one
     */
    public Optional<Member> source(StorePosition position, Set<String> avoided, long nowMillis) {
        Member best = null;
        Member bestAvoided = null;
        for (Member member : fleet.members()) {
            if (!member.published().isAfter(position) || !fleet.alive(member, nowMillis)) {
                continue;
            }
            if (avoided.contains(member.info().vm())) {
                bestAvoided = preferred(member, bestAvoided);
            } else {
                best = preferred(member, best);
            }
        }
        return Optional.ofNullable(best == null ? bestAvoided : best);
    }

    /**
     * Tells whether a VM of any region is heard that the store answers directly.
     *
     * @param nowMillis monotonic time
     * @return false if nobody else would tell this VM of a change
     */
    public boolean anyReaderHeard(long nowMillis) {
        return fleet.members().stream()
                .anyMatch(member -> member.readsStore() && fleet.receivesFrom(member, nowMillis));
    }

    /**
     * VMs of this region, without this one, that accept requests, whose heartbeats arrive and which
     * the store answers directly.
     *
     * @param nowMillis monotonic time
     * @return names in no particular order
     */
    List<String> readersInRegion(long nowMillis) {
        return fleet.members().stream()
                .filter(
                        member ->
                                member.readsStore()
                                        && inOwnRegion(member)
                                        && member.info().state().acceptsRequests()
                                        && fleet.receivesFrom(member, nowMillis))
                .map(member -> member.info().vm())
                .toList();
    }

    private Member preferred(Member member, Member other) {
        return other == null || preferredOver(member, other) ? member : other;
    }

    private boolean preferredOver(Member member, Member other) {
        if (!member.published().equals(other.published())) {
            return member.published().isAfter(other.published());
        }
        if (inOwnRegion(member) != inOwnRegion(other)) {
            return inOwnRegion(member);
        }
        String self = fleet.self().vm();
        long weight = Rendezvous.weight(self, member.info().vm());
        return Long.compareUnsigned(weight, Rendezvous.weight(self, other.info().vm())) > 0;
    }

    private boolean inOwnRegion(Member member) {
        return member.info().region().equals(fleet.self().region());
    }
}
