package io.vanillapoint.core.fleet;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import java.util.Objects;

/**
 * Properties that a VM reports about itself. Immutable.
 *
 * @param vm name of the VM
 * @param host IP address
 * @param region region of the VM
 * @param zone availability zone
 * @param capacity processor time that the VM has, in thousandths of a core, above 0
 * @param incarnation start time of its process in milliseconds since the epoch, larger after a
 *     restart
 * @param state life cycle state
 */
public record MemberInfo(
        String vm,
        String host,
        RegionId region,
        ZoneId zone,
        int capacity,
        long incarnation,
        MemberState state) {
    /** Capacity of a VM with one core. */
    public static final int ONE_CORE = 1_000;

    /** Checks that all values are present and the capacity is positive. */
    public MemberInfo {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(state, "state");
        if (capacity <= 0) {
            throw new IllegalArgumentException(
                    "expected capacity of " + vm + " above 0, found " + capacity);
        }
    }

    /**
     * Copies the properties with another state.
     *
     * @param newState life cycle state
     * @return a copy
     */
    public MemberInfo withState(MemberState newState) {
        return new MemberInfo(vm, host, region, zone, capacity, incarnation, newState);
    }
}
