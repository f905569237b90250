package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.VmId;

/**
 * Who a VM is and how it splits the rate. Immutable.
 *
 * @param self name of the VM
 * @param region its region
 * @param incarnation its process start, larger for later starts
 * @param timing times of the protocol
 * @param policy how shares are used
 */
public record AuthoritySettings(
        VmId self, RegionId region, long incarnation, LimitTiming timing, SharePolicy policy) {}
