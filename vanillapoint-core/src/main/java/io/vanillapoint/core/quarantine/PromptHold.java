package io.vanillapoint.core.quarantine;

import java.util.Set;

/**
 * A set of prompt parts whose requests are withheld, as VMs report it to each other. Immutable.
 *
 * @param parts hashes of parts; a request is withheld if it has all of them
 * @param customer hash of the customer whose requests are withheld, {@link #ALL_CUSTOMERS} for all
 * @param heldMillis time since the hold began
 * @param idleMillis time since a request with the parts was last seen by any VM
 * @param probes number of requests that were let through to test whether the hold is still needed
 */
public record PromptHold(
        Set<Long> parts, long customer, long heldMillis, long idleMillis, int probes) {
    /** Value of {@code customer} if the requests of all customers are withheld. */
    public static final long ALL_CUSTOMERS = 0;

    /** Copies the parts. */
    public PromptHold {
        parts = Set.copyOf(parts);
    }
}
