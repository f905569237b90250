package io.vanillapoint.core.fleet;

/**
 * Requests that a VM has outstanding at an upstream. Immutable.
 *
 * @param requests number of requests without a complete response
 * @param promptTokens uncached prompt tokens of those requests whose first event has not arrived
 *     yet
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
