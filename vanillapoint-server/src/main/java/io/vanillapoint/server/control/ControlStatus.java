package io.vanillapoint.server.control;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.VmId;
import java.util.List;

/**
 * State of one VM for operators. Immutable.
 *
 * @param vm name of the VM
 * @param region its region
 * @param configRevision revision of the configuration in force
 * @param shareActive true if the VM holds its base share
 * @param baseShare fraction of the region's rates that is its own
 * @param liveVms VMs of the region that are alive and take new work
 * @param running requests that run
 * @param waiting requests that wait
 * @param draining true if the VM takes no new work
 */
public record ControlStatus(
        VmId vm,
        RegionId region,
        long configRevision,
        boolean shareActive,
        double baseShare,
        List<VmId> liveVms,
        int running,
        int waiting,
        boolean draining) {}
