package io.vanillapoint.entry.port;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;

/** What callers and the platform ask an entry VM beside requests. Immutable. */
public sealed interface EntryQuestion {
    /** Whether the VM takes requests. */
    record Readiness() implements EntryQuestion {}

    /**
     * Which VMs a caller should use.
     *
     * @param region region of the caller
     * @param zone availability zone of the caller
     */
    record Directory(RegionId region, ZoneId zone) implements EntryQuestion {}

    /** Something that the platform does not define. */
    record Unknown() implements EntryQuestion {}
}
