package io.vanillapoint.entry.port;

import io.vanillapoint.api.model.RegionId;

/** What callers and the platform ask an entry VM beside requests. Immutable. */
public sealed interface EntryQuestion {
    /** Whether the VM takes requests. */
    record Readiness() implements EntryQuestion {}

    /**
     * Which VMs a caller should use.
     *
     * @param host name of the host that the caller wants to reach
     * @param region region of the caller
     */
    record Directory(String host, RegionId region) implements EntryQuestion {}

    /** Something that the platform does not define. */
    record Unknown() implements EntryQuestion {}
}
