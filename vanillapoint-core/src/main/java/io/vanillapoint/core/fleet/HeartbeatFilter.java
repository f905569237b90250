package io.vanillapoint.core.fleet;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Leaves out of heartbeats what cannot be of this fleet: VMs of other zones or regions than the
 * settings name, and new VMs beyond the limit of the list of VMs, which any sender can fill with
 * names. Confined to one thread.
 */
public final class HeartbeatFilter {
    /** Several times the VMs of the largest fleet. */
    public static final int MAX_VMS = 2_048;

    private final FleetView fleet;
    private final Map<ZoneId, RegionId> zones;
    private long refusedVms;

    /**
     * Creates a filter.
     *
     * @param fleet the VMs that are known
     * @param zones region of each zone
     */
    public HeartbeatFilter(FleetView fleet, Map<ZoneId, RegionId> zones) {
        this.fleet = fleet;
        this.zones = Map.copyOf(zones);
    }

    /**
     * Number of times that a VM was left out.
     *
     * @return number since the start
     */
    public long refusedVms() {
        return refusedVms;
    }

    /**
     * Reduces a heartbeat to the VMs that may be of this fleet.
     *
     * @param report heartbeat of another VM
     * @return the heartbeat, empty if its sender is none of them
     */
    public Optional<FleetReport> admit(FleetReport report) {
        Set<String> added = new HashSet<>();
        if (!admits(report.self(), added)) {
            refusedVms++;
            return Optional.empty();
        }
        List<MemberObservation> others = new ArrayList<>(report.others().size());
        for (MemberObservation other : report.others()) {
            if (admits(other.info(), added)) {
                others.add(other);
            }
        }
        int refused = report.others().size() - others.size();
        refusedVms += refused;
        return Optional.of(refused == 0 ? report : report.withOthers(others));
    }

    private boolean admits(MemberInfo vm, Set<String> added) {
        if (!vm.region().equals(zones.get(vm.zone()))) {
            return false;
        }
        if (fleet.knows(vm.vm()) || vm.vm().equals(fleet.self().vm())) {
            return true;
        }
        boolean room = fleet.members().size() + added.size() < MAX_VMS;
        return added.contains(vm.vm()) || room && added.add(vm.vm());
    }
}
