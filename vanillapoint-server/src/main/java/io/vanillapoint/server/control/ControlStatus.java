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
 * @param shareActive true if the VM's base share is active
 * @param baseShare fraction of the region's rates that this VM owns
 * @param liveVms VMs of the region that are alive and admit requests
 * @param running number of running requests
 * @param waiting number of queued requests
 * @param draining true if the VM admits no new requests
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
