package io.vanillapoint.entry.port;

import io.vanillapoint.api.model.RegionId;

/** Query of a caller or of the platform to an entry VM. Immutable. */
public sealed interface EntryRequest {
    /** Asks whether the VM accepts requests. */
    record Readiness() implements EntryRequest {}

    /**
     * Asks which VMs a caller should use.
     *
     * @param host host name that the caller wants to reach
     * @param region region of the caller
     */
    record Directory(String host, RegionId region) implements EntryRequest {}

    /** Path that the platform does not define. */
    record Unknown() implements EntryRequest {}
}
