package io.vanillapoint.core.fleet;

/**
 * Requests that a VM has outstanding at an upstream. Immutable.
 *
 * @param requests number of requests without a complete response
 * @param promptTokens uncached prompt tokens of those requests whose first event has not arrived
 *     yet
 * @param deferrableRequests part of {@code requests} that belongs to routes less urgent than the
 *     most urgent one of the service; 0 while load-aware placement is inactive
 * @param deferrablePromptTokens part of {@code promptTokens} that belongs to such requests
 */
public record UpstreamUse(
        int requests, long promptTokens, int deferrableRequests, long deferrablePromptTokens) {
    /** Nothing outstanding. */
    public static final UpstreamUse NONE = new UpstreamUse(0, 0);

    /**
     * Creates a use without deferrable requests.
     *
     * @param requests number of requests without a complete response
     * @param promptTokens uncached prompt tokens of requests without a first event
     */
    public UpstreamUse(int requests, long promptTokens) {
        this(requests, promptTokens, 0, 0);
    }

    /**
     * Adds the use of another VM.
     *
     * @param other its use
     * @return the sum
     */
    public UpstreamUse plus(UpstreamUse other) {
        return new UpstreamUse(
                requests + other.requests,
                promptTokens + other.promptTokens,
                deferrableRequests + other.deferrableRequests,
                deferrablePromptTokens + other.deferrablePromptTokens);
    }

    /** Returns the use with all signs changed. */
    UpstreamUse negated() {
        return new UpstreamUse(
                -requests, -promptTokens, -deferrableRequests, -deferrablePromptTokens);
    }
}
