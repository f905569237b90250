package io.vanillapoint.api.plugin;

/** Chooses an upstream. Implementations use no clock and no random source of their own. */
@FunctionalInterface
public interface UpstreamPolicy {
    /**
     * Chooses one of the candidates.
     *
     * @param choice candidates and further input
     * @return one of its candidates
     */
    UpstreamCandidate choose(UpstreamChoice choice);
}
