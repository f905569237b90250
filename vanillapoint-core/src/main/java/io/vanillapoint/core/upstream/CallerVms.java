package io.vanillapoint.core.upstream;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.MemberInfo;
import java.util.List;
import java.util.Set;

/**
 * Chooses the VMs that callers are sent to, by what the fleet reports of its VMs and of the
 * replicas that they reach. Reads its arguments and holds no state of its own. Confined to their
 * thread.
 */
public final class CallerVms {
    private final FleetView fleet;
    private final UpstreamPool pool;

    /**
     * Creates a selection.
     *
     * @param fleet this VM and the others
     * @param pool replicas
     */
    public CallerVms(FleetView fleet, UpstreamPool pool) {
        this.fleet = fleet;
        this.pool = pool;
    }

    /**
     * Chooses the VMs that a caller may be sent to.
     *
     * @param region region of the caller, may be one without VMs
     * @param homes regions in which the caller's requests may be processed, empty for all
     * @param homesOnly true if no request of the caller may be processed elsewhere
     * @param nowMillis monotonic time
     * @return VMs as from {@link FleetView#callerVms}
     */
    public List<MemberInfo> select(
            RegionId region, Set<RegionId> homes, boolean homesOnly, long nowMillis) {
        return fleet.callerVms(
                region, homes, homesOnly, vm -> reachesReplicas(vm, nowMillis), nowMillis);
    }

    /** Tells whether a VM reaches any replica of its region; also true if there is none. */
    private boolean reachesReplicas(MemberInfo vm, long nowMillis) {
        boolean self = vm.vm().equals(fleet.self().vm());
        boolean anyServing = false;
        for (ReplicaTracker tracker : pool.replicas()) {
            if (!tracker.region().equals(vm.region()) || !pool.serves(tracker, nowMillis)) {
                continue;
            }
            anyServing = true;
            String id = tracker.info().id();
            if (self
                    ? !tracker.outOfReach(nowMillis)
                    : fleet.reach().reaches(vm.vm(), id, nowMillis)) {
                return true;
            }
        }
        return !anyServing;
    }
}
