package io.vanillapoint.core.fleet;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import java.util.List;
import java.util.Set;

/** Creates rosters of VMs that know each other. */
public final class Rosters {
    private static final RegionId REGION = new RegionId("r");
    private static final ZoneId ZONE = new ZoneId("z");

    private Rosters() {}

    /**
     * Creates the roster of a process that learns of all VMs of its region when it starts.
     *
     * @param self name of the VM
     * @param vms names of all VMs of the region
     * @param startedAtMillis monotonic time of its start
     */
    public static VmRoster withMembers(String self, List<String> vms, long startedAtMillis) {
        VmRoster roster =
                new VmRoster(info(self), Set.of(ZONE), 1, FleetTiming.DEFAULT, startedAtMillis);
        for (String vm : vms) {
            roster.observe(
                    FleetReport.builder(info(vm), 1).regionVms(vms.size()).build(),
                    startedAtMillis);
        }
        return roster;
    }

    private static MemberInfo info(String vm) {
        return new MemberInfo(vm, vm, REGION, ZONE, MemberInfo.ONE_CORE, 1, MemberState.READY);
    }
}
