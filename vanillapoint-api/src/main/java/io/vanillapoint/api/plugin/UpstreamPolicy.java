package io.vanillapoint.api.plugin;

/** Chooses an upstream. Implementations have no clock and no randomness of their own. */
@FunctionalInterface
public interface UpstreamPolicy {
    /**
     * Chooses one of the candidates.
     *
     * @param choice what to decide on
     * @return one of its candidates
     */
    UpstreamCandidate choose(UpstreamChoice choice);
}
