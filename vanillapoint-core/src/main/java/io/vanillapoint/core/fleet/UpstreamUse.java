package io.vanillapoint.core.fleet;

/**
 * What one VM has outstanding at one upstream. Immutable.
 *
 * @param requests requests without a complete answer
 * @param promptTokens prompt tokens of those whose first event is still awaited, less cached ones
 */
public record UpstreamUse(int requests, long promptTokens) {
    /** Nothing outstanding. */
    public static final UpstreamUse NONE = new UpstreamUse(0, 0);

    /**
     * Adds the use of another VM.
     *
     * @param other its use
     * @return the sum
     */
    public UpstreamUse plus(UpstreamUse other) {
        return new UpstreamUse(requests + other.requests, promptTokens + other.promptTokens);
    }
}
