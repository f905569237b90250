package io.vanillapoint.api.model;

import java.util.Objects;

/**
 * An entry VM in the platform's list. Immutable and safe for use by several threads.
 *
 * @param id name of the VM
 * @param region region it runs in
 * @param zone availability zone it runs in
 * @param callers address of the listener for callers
 * @param peers address of the listener for other VMs
 * @param operators address of the listener for operators
 * @param state whether it accepts new requests
 */
public record Vm(
        VmId id,
        RegionId region,
        ZoneId zone,
        Endpoint callers,
        Endpoint peers,
        Endpoint operators,
        Lifecycle state) {
    /** Checks that no component is null. */
    public Vm {
        Objects.requireNonNull(id);
        Objects.requireNonNull(region);
        Objects.requireNonNull(zone);
        Objects.requireNonNull(callers);
        Objects.requireNonNull(peers);
        Objects.requireNonNull(operators);
        Objects.requireNonNull(state);
    }
}
