package io.vanillapoint.core.upstream;

/**
 * Part of this VM's outstanding work at a replica that belongs to deferrable requests.
 *
 * <p>Whoever records a request as sent records its prompt as processed and its end, once each.
 * Invariant: both figures are never negative. Confined to one thread.
 */
public final class DeferrableWork {
    private int requests;
    private long promptTokens;

    DeferrableWork() {}

    /**
     * Records a deferrable request that is about to be sent.
     *
     * @param uncachedTokens prompt tokens that the replica has to process for it
     */
    public void dispatched(long uncachedTokens) {
        requests++;
        promptTokens += uncachedTokens;
    }

    /**
     * Records that the prompt of a deferrable request was processed, or that the request ended.
     *
     * @param uncachedTokens value passed when the request was sent
     */
    public void promptProcessed(long uncachedTokens) {
        promptTokens = Math.max(0, promptTokens - uncachedTokens);
    }

    /** Records the end of a deferrable request, whatever its outcome. */
    public void finished() {
        requests = Math.max(0, requests - 1);
    }

    int requests() {
        return requests;
    }

    long promptTokens() {
        return promptTokens;
    }
}
