package io.vanillapoint.core.quarantine;

import java.util.Objects;

/**
 * A suspect request with the time since the crash, as VMs report it to each other. Immutable.
 *
 * @param request the request
 * @param ageMillis time since the crash
 */
public record CrashEvidence(SuspectRequest request, long ageMillis) {
    /** Checks that the request is present. */
    public CrashEvidence {
        Objects.requireNonNull(request, "request");
    }
}
