package io.vanillapoint.core.quarantine;

import java.util.List;

/**
 * A request whose connection to an engine broke when the engine crashed. Equal for all VMs.
 * Immutable.
 *
 * @param crash hash of the engine's id and start time; equal for all requests of one crash
 * @param stage how far the response was
 * @param customer hash of the customer's name, {@link PartHashes#NO_CUSTOMER} if it has none
 * @param parts hashes of shared prompt parts
 */
public record SuspectRequest(long crash, AttemptStage stage, long customer, List<Long> parts) {
    /** Number of prompt parts that are kept; further ones are left out. */
    public static final int MAX_PARTS = 8;

    /** Copies the parts. */
    public SuspectRequest {
        parts = parts.stream().distinct().limit(MAX_PARTS).toList();
    }
}
