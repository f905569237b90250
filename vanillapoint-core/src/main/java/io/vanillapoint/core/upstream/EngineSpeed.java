package io.vanillapoint.core.upstream;

/**
 * Speed at which the engines of one service read prompts, learnt from first events.
 *
 * <p>Invariant: the rate stays between its bounds. Confined to one thread.
 */
public final class EngineSpeed {
    /** Between the slowest and the fastest engines that are in common use. */
    private static final double SLOWEST_TOKENS_PER_MILLI = 8;

    private static final double FASTEST_TOKENS_PER_MILLI = 400;
    private static final double START_TOKENS_PER_MILLI = 40;

    /** Smaller prompts say more of the engine's steps than of its reading. */
    private static final long SMALLEST_SAMPLE_TOKENS = 2_000;

    /** Time to a first event without a prompt, about ten steps of an engine. */
    private static final double BASE_MILLIS = 45;

    /** First samples weigh more, so that a new process learns within some requests. */
    private static final double NEWEST_WEIGHT = 0.05;

    private double tokensPerMilli = START_TOKENS_PER_MILLI;
    private int samples = 1;

    /**
     * Learns from a first event.
     *
     * @param tokens prompt tokens that were read before it, those queued ahead included
     * @param millis time from sending the request to its first event
     */
    public void firstEvent(long tokens, long millis) {
        if (tokens < SMALLEST_SAMPLE_TOKENS) {
            return;
        }
        double sample = tokens / Math.max(1, millis - BASE_MILLIS);
        double bounded =
                Math.min(FASTEST_TOKENS_PER_MILLI, Math.max(SLOWEST_TOKENS_PER_MILLI, sample));
        double weight = Math.max(NEWEST_WEIGHT, 1.0 / ++samples);
        tokensPerMilli += weight * (bounded - tokensPerMilli);
    }

    /**
     * Expected time to a first event.
     *
     * @param tokens prompt tokens to be read before it
     * @return milliseconds
     */
    public double firstEventMillis(long tokens) {
        return BASE_MILLIS + tokens / tokensPerMilli;
    }

    /**
     * Present estimate.
     *
     * @return prompt tokens a millisecond
     */
    public double tokensPerMilli() {
        return tokensPerMilli;
    }
}
