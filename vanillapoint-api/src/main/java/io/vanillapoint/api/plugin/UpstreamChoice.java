package io.vanillapoint.api.plugin;

import java.util.List;

/**
 * What an {@link UpstreamPolicy} decides on. Immutable.
 *
 * @param affinityKey requests with the same text profit from the same upstream
 * @param number number of the choice, rising, for policies that take turns
 * @param random 64 random bits for policies that draw
 * @param candidates upstreams to choose from, not empty
 */
public record UpstreamChoice(
        String affinityKey, long number, long random, List<UpstreamCandidate> candidates) {
    /** Copies the candidates. */
    public UpstreamChoice {
        candidates = List.copyOf(candidates);
    }
}
