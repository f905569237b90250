package io.vanillapoint.core.upstream;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.MemberInfo;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Other VMs of this region through which a request gets to replicas that this VM can't reach.
 *
 * <p>Handles a VM that has lost its paths to replicas which the others still reach. Each VM reports
 * what it can't reach in its heartbeats, so whether the replica is down or only this VM's path is
 * decided by what the others report. Invariant: only a VM that accepts requests, that has not just
 * refused one, and to which this request was not relayed before is chosen. Valid for one moment;
 * confined to one thread.
 */
final class RegionRelay {
    /**
     * Time since this VM first failed to reach a replica after which the others have noticed it
     * too, if it is down: a failed connection and two heartbeats.
     */
    private static final long OTHERS_NOTICE_MILLIS = 700;

    private final FleetView fleet;
    private final RegionId region;
    private final Predicate<MemberInfo> usable;
    private final long nowMillis;

    /**
     * Creates the choice for one request.
     *
     * @param fleet other VMs, and what they reach
     * @param backoff VMs that have refused a relayed request
     * @param query the request
     * @param nowMillis monotonic time
     */
    RegionRelay(FleetView fleet, RelayBackoff backoff, PlacementQuery query, long nowMillis) {
        this.fleet = fleet;
        this.nowMillis = nowMillis;
        region = fleet.self().region();
        String service = query.service().name();
        usable =
                vm ->
                        query.mayRelay()
                                && !query.tried().contains(vm.vm())
                                && !backoff.active(service, vm.vm(), nowMillis);
    }

    /**
     * Tells whether a replica is better reached through another VM.
     *
     * @param tracker a serving replica of this region
     * @param pathLost true if this VM has probably lost its paths to all replicas of the service
     * @return false if this VM reaches it, or no other VM that can be asked does
     */
    boolean reaches(ReplicaTracker tracker, boolean pathLost) {
        boolean othersNoticed =
                tracker.outOfReach(nowMillis)
                        && tracker.failingMillis(nowMillis) >= OTHERS_NOTICE_MILLIS;
        return (pathLost || othersNoticed)
                && !tracker.cold(nowMillis)
                && !vms(Set.of(tracker.info().id())).isEmpty();
    }

    /**
     * VMs that reach replicas.
     *
     * @param replicas ids of replicas of this region
     * @return the VMs that carry requests, empty if none reaches any of the replicas
     */
    List<MemberInfo> vms(Set<String> replicas) {
        return fleet.reach().reachingVms(region, replicas, usable, nowMillis);
    }
}
