package io.vanillapoint.api.model;

import java.util.Objects;
import java.util.Set;

/**
 * A back end that runs requests: a replica of a model engine or of a plain service. Immutable and
 * safe for use by several threads.
 *
 * @param id name of the upstream
 * @param kind whether it runs a model or a service
 * @param region region it runs in
 * @param zone availability zone it runs in
 * @param address address that it listens on
 * @param serves names of the models or services that it runs
 * @param capacity number of concurrent requests that it runs at full speed
 * @param costPerThousandTokens price of a thousand tokens, in the operators' currency
 * @param state whether it accepts new requests
 */
public record Upstream(
        UpstreamId id,
        UpstreamKind kind,
        RegionId region,
        ZoneId zone,
        Endpoint address,
        Set<String> serves,
        int capacity,
        double costPerThousandTokens,
        Lifecycle state) {
    /** Checks the invariant: no component is null and the capacity is positive. */
    public Upstream {
        Objects.requireNonNull(id);
        Objects.requireNonNull(kind);
        Objects.requireNonNull(region);
        Objects.requireNonNull(zone);
        Objects.requireNonNull(address);
        Objects.requireNonNull(state);
        serves = Set.copyOf(serves);
        if (capacity <= 0) {
            throw new IllegalArgumentException("upstream " + id + ": expected a capacity over 0");
        }
    }
}
