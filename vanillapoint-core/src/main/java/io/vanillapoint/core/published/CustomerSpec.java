package io.vanillapoint.core.published;

import io.vanillapoint.api.model.RegionId;
import java.util.OptionalInt;
import java.util.Set;

/**
 * One customer of the configuration. Immutable.
 *
 * @param name name that upstreams receive
 * @param keys API keys of its callers
 * @param priority priority that overrides the route's, if set
 * @param plainTokens tokens charged for a request without a token count
 * @param ratePerSecond tokens per second over all VMs, 0 for no limit
 * @param burst tokens allowed beyond the rate
 * @param homes regions in which requests may be processed, empty for all
 */
public record CustomerSpec(
        String name,
        Set<String> keys,
        OptionalInt priority,
        long plainTokens,
        double ratePerSecond,
        double burst,
        Set<RegionId> homes) {
    /** Copies the collections. */
    public CustomerSpec {
        keys = Set.copyOf(keys);
        homes = Set.copyOf(homes);
    }

    /**
     * Tells whether the customer's tokens are limited.
     *
     * @return true if there is a rate
     */
    public boolean limited() {
        return ratePerSecond > 0;
    }
}
