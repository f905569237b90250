package io.vanillapoint.core.fleet;

import java.util.List;
import java.util.Map;

/**
 * Heartbeat of a VM to another one. Immutable.
 *
 * @param self the sender
 * @param sequence rises with each report of one incarnation
 * @param publishedRevision revision of the platform's store up to which the sender knows it
 * @param customers what the sender knows of each customer's tokens
 * @param upstreams what the sender has outstanding at each upstream
 * @param reads sessions that engines have read for the sender lately
 * @param readsStore true if the platform's store has answered the sender itself lately
 * @param others VMs that the sender has heard of
 */
public record FleetReport(
        MemberInfo self,
        long sequence,
        long publishedRevision,
        Map<String, CustomerUse> customers,
        Map<String, UpstreamUse> upstreams,
        List<SessionRead> reads,
        boolean readsStore,
        List<HeardMember> others) {
    /** Copies the collections. */
    public FleetReport {
        customers = Map.copyOf(customers);
        upstreams = Map.copyOf(upstreams);
        reads = List.copyOf(reads);
        others = List.copyOf(others);
    }

    /**
     * The same report without the reads of sessions, which are outdated before they have reached
     * all VMs of other regions in turn.
     *
     * @return a copy that names no reads
     */
    public FleetReport withoutReads() {
        return new FleetReport(
                self,
                sequence,
                publishedRevision,
                customers,
                upstreams,
                List.of(),
                readsStore,
                others);
    }

    /**
     * The same report without what changes slowly, for links on which each byte is paid for.
     *
     * @return a copy that names no other VMs
     */
    public FleetReport withoutOthers() {
        return new FleetReport(
                self,
                sequence,
                publishedRevision,
                customers,
                upstreams,
                reads,
                readsStore,
                List.of());
    }
}
