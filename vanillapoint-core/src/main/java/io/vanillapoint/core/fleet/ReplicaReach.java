package io.vanillapoint.core.fleet;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.TrafficVmSelector.VmLoad;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Which VMs reach which replicas, by what VMs report as unreachable for them.
 *
 * <p>Handles replicas that no VM of their region can reach: nothing is outstanding on them, so they
 * would look like the best ones. Invariant: a report holds until the VM omits the replica from a
 * page that covers it, until the VM restarts, or until its time is over. A VM that doesn't report
 * such replicas counts as reaching all of them. Confined to one thread.
 */
public final class ReplicaReach {
    /** Heartbeats of a VM, times its pages, after which its report on a replica is out of date. */
    private static final int VALID_HEARTBEATS = 5;

    private final FleetView fleet;

    /** By replica and VM, the monotonic time until which the report holds. */
    private final Map<String, Map<String, Long>> unreachableUntil = new HashMap<>();

    ReplicaReach(FleetView fleet) {
        this.fleet = fleet;
    }

    void apply(FleetReport report, boolean restarted, long heartbeatMillis, long nowMillis) {
        String vm = report.self().vm();
        if (restarted || report.unreachable().isPresent()) {
            unreachableUntil.forEach(
                    (replica, byVm) -> {
                        if (restarted || report.page().covers(replica)) {
                            byVm.remove(vm);
                        }
                    });
            unreachableUntil.values().removeIf(Map::isEmpty);
        }
        long untilMillis = nowMillis + VALID_HEARTBEATS * heartbeatMillis * report.page().count();
        for (String replica : report.unreachable().orElse(Set.of())) {
            unreachableUntil
                    .computeIfAbsent(replica, unused -> new HashMap<>())
                    .put(vm, untilMillis);
        }
    }

    /** Drops reports whose time is over. */
    void prune(long nowMillis) {
        unreachableUntil
                .values()
                .forEach(byVm -> byVm.values().removeIf(until -> nowMillis > until));
        unreachableUntil.values().removeIf(Map::isEmpty);
    }

    /**
     * Tells whether a VM reaches a replica of its region.
     *
     * @param vm name of the VM
     * @param replica id of the replica
     * @param nowMillis monotonic time
     * @return false if the VM reports that it can't
     */
    public boolean reaches(String vm, String replica, long nowMillis) {
        Long until = unreachableUntil.getOrDefault(replica, Map.of()).get(vm);
        return until == null || nowMillis > until;
    }

    /**
     * Tells whether any other VM to which requests could be relayed reaches a replica.
     *
     * @param region region of the VMs and the replica
     * @param replica id of the replica
     * @param nowMillis monotonic time
     * @return false if all of them report that they can't
     */
    public boolean reachedIn(RegionId region, String replica, long nowMillis) {
        return !unreachableUntil.containsKey(replica)
                || fleet.relayLoads(region, nowMillis).stream()
                        .anyMatch(vm -> reaches(vm.vm().vm(), replica, nowMillis));
    }

    /**
     * Other VMs of a region that accept requests from this one and reach most of the given
     * replicas. If none reaches any, all of them.
     *
     * @param region region of the VMs
     * @param replicas ids of the replicas there that may serve the request
     * @param nowMillis monotonic time
     * @return VMs as from {@link FleetView#relayVms}
     */
    public List<MemberInfo> relayVms(RegionId region, Set<String> replicas, long nowMillis) {
        List<MemberInfo> reaching = reachingVms(region, replicas, vm -> true, nowMillis);
        return reaching.isEmpty() ? fleet.relayVms(region, nowMillis) : reaching;
    }

    /**
     * Other VMs of a region that accept requests from this one and reach the given replicas. A VM
     * that has just been cut off reports at first only those that it has tried, so VMs that reach
     * less than half as many as another one are left out.
     *
     * @param region region of the VMs
     * @param replicas ids of the replicas there that may serve the request
     * @param usable tells whether a request may be relayed to a VM
     * @param nowMillis monotonic time
     * @return the VMs that carry requests, empty if none reaches any of the replicas
     */
    public List<MemberInfo> reachingVms(
            RegionId region, Set<String> replicas, Predicate<MemberInfo> usable, long nowMillis) {
        Map<VmLoad, Long> reached = new LinkedHashMap<>();
        for (VmLoad vm : fleet.relayLoads(region, nowMillis)) {
            if (usable.test(vm.vm())) {
                long count = countReached(vm.vm().vm(), replicas, nowMillis);
                reached.put(vm, count);
            }
        }
        long most = reached.values().stream().mapToLong(Long::longValue).max().orElse(0);
        reached.values().removeIf(count -> count == 0 || 2 * count < most);
        return TrafficVmSelector.select(List.copyOf(reached.keySet()));
    }

    private long countReached(String vm, Set<String> replicas, long nowMillis) {
        return replicas.stream().filter(id -> reaches(vm, id, nowMillis)).count();
    }
}
