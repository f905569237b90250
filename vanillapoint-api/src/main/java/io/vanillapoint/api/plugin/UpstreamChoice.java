package io.vanillapoint.api.plugin;

import java.util.List;

/**
 * Input of an {@link UpstreamPolicy}. Immutable.
 *
 * @param affinityKey key that is equal for requests that benefit from the same upstream
 * @param sequence increasing number of the choice, for round-robin policies
 * @param random 64 random bits, for randomized policies
 * @param candidates upstreams to choose from, not empty
 */
public record UpstreamChoice(
        String affinityKey, long sequence, long random, List<UpstreamCandidate> candidates) {
    /** Copies the candidates. */
    public UpstreamChoice {
        candidates = List.copyOf(candidates);
    }
}
