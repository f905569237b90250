package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.VmId;

/**
 * Identity of a VM, and the timing and policy by which it shares rate limits. Immutable.
 *
 * @param self name of the VM
 * @param region its region
 * @param incarnation identifies its process start, larger for later starts
 * @param timing timing parameters of the protocol
 * @param policy how the VMs of the region split rate limits
 */
public record AuthoritySettings(
        VmId self, RegionId region, long incarnation, LimitTiming timing, SharePolicy policy) {}
