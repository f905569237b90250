package io.vanillapoint.core.fleet;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;

/**
 * What a VM says of itself. Immutable.
 *
 * @param vm name of the VM
 * @param host IP address
 * @param region region
 * @param zone availability zone
 * @param incarnation start of its process in milliseconds since 1970, larger after a restart
 * @param state life cycle
 */
public record MemberInfo(
        String vm, String host, RegionId region, ZoneId zone, long incarnation, MemberState state) {
    /**
     * The same VM in another state.
     *
     * @param newState life cycle
     * @return a copy
     */
    public MemberInfo withState(MemberState newState) {
        return new MemberInfo(vm, host, region, zone, incarnation, newState);
    }
}
