package io.vanillapoint.core.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * VMs of the region of a view's own VM. Reads the view and holds no state of its own. Confined to
 * the thread of the view.
 */
public final class RegionVms {
    private final FleetView fleet;

    /**
     * Creates the list of a view's region.
     *
     * @param fleet view of all VMs
     */
    public RegionVms(FleetView fleet) {
        this.fleet = fleet;
    }

    /**
     * Largest VMs that accept requests and are alive, whatever their load.
     *
     * @param limit maximum number of VMs
     * @param nowMillis monotonic time
     * @return VMs, the own one included if it belongs to them
     */
    public List<MemberInfo> ready(int limit, long nowMillis) {
        List<MemberInfo> ready = new ArrayList<>();
        if (fleet.self().state().acceptsRequests()) {
            ready.add(fleet.self());
        }
        for (Member member : fleet.members()) {
            if (inRegion(member)
                    && member.info().state().acceptsRequests()
                    && fleet.alive(member, nowMillis)) {
                ready.add(member.info());
            }
        }
        return TrafficVmSelector.largest(ready, limit);
    }

    /**
     * Number of VMs that have not ended and whose own heartbeats arrive.
     *
     * @param nowMillis monotonic time
     * @return number, the own VM included
     */
    public int heard(long nowMillis) {
        long others =
                fleet.members().stream()
                        .filter(this::inRegion)
                        .filter(member -> member.info().state() != MemberState.GONE)
                        .filter(member -> fleet.receivesFrom(member, nowMillis))
                        .count();
        return (int) others + 1;
    }

    /**
     * Tells whether requests reach another VM, as far as known.
     *
     * @param vm name of the VM
     * @param nowMillis monotonic time
     * @return false if it is unknown, or while requests avoid it
     */
    public boolean mayRelayTo(String vm, long nowMillis) {
        return fleet.members().stream()
                .anyMatch(member -> member.info().vm().equals(vm) && !member.avoided(nowMillis));
    }

    private boolean inRegion(Member member) {
        return member.info().region().equals(fleet.self().region());
    }
}
