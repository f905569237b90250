package io.vanillapoint.api.model;

import java.util.Objects;

/**
 * An entry VM as the platform lists it. Immutable and safe for use by several threads.
 *
 * @param id name of the VM
 * @param region region it runs in
 * @param zone availability zone it runs in
 * @param callers where callers connect
 * @param peers where other VMs connect
 * @param operators where operators connect
 * @param state whether it takes new work
 */
public record Vm(
        VmId id,
        RegionId region,
        ZoneId zone,
        Endpoint callers,
        Endpoint peers,
        Endpoint operators,
        Lifecycle state) {
    /** Checks that every part is there. */
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
