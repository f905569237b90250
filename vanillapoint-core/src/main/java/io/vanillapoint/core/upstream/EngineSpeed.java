package io.vanillapoint.core.upstream;

/**
 * Estimates how fast the engines of one service process prompts, from their times to first event.
 *
 * <p>Invariant: the rate stays between its bounds. Confined to one thread.
 */
public final class EngineSpeed {
    /** Bounds of the rate: the slowest and the fastest engines in common use. */
    private static final double MIN_TOKENS_PER_MILLI = 8;

    private static final double MAX_TOKENS_PER_MILLI = 400;
    private static final double INITIAL_TOKENS_PER_MILLI = 40;

    /** With smaller prompts, the engine's step time outweighs prompt processing. */
    private static final long MIN_SAMPLE_TOKENS = 2_000;

    /** Time to a first event with an empty prompt, about ten engine steps. */
    private static final double BASE_MILLIS = 45;

    /** The first samples weigh more, so that a new process converges within a few requests. */
    private static final double MIN_SAMPLE_WEIGHT = 0.05;

    private double tokensPerMilli = INITIAL_TOKENS_PER_MILLI;
    private int samples = 1;

    /**
     * Updates the estimate with the first event of a response.
     *
     * @param tokens prompt tokens processed before it, including those queued ahead
     * @param millis time from sending the request to its first event
     */
    public void recordFirstEvent(long tokens, long millis) {
        if (tokens < MIN_SAMPLE_TOKENS) {
            return;
        }
        double sample = tokens / Math.max(1, millis - BASE_MILLIS);
        double bounded = Math.min(MAX_TOKENS_PER_MILLI, Math.max(MIN_TOKENS_PER_MILLI, sample));
        double weight = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / ++samples);
        tokensPerMilli += weight * (bounded - tokensPerMilli);
    }

    /**
     * Expected time to a first event.
     *
     * @param tokens prompt tokens to be processed before it
     * @return milliseconds
     */
    public double firstEventMillis(long tokens) {
        return BASE_MILLIS + tokens / tokensPerMilli;
    }

    /**
     * Current estimate.
     *
     * @return prompt tokens per millisecond
     */
    public double tokensPerMilli() {
        return tokensPerMilli;
    }
}
