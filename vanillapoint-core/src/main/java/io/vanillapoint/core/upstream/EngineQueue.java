package io.vanillapoint.core.upstream;

import io.vanillapoint.core.fleet.UpstreamUse;

/**
 * Estimates what an engine of one service processes before the first event of a new request.
 *
 * <p>Handles engines that get long and short prompts at once. An engine processes prompts in chunks
 * and takes the next chunk from the most urgent waiting request; requests of equal urgency are
 * served in the order of arrival. So a request waits for the prompt tokens of requests that are at
 * least as urgent, and for the chunk in progress. If the batch is full, a more urgent request takes
 * the place of a running one. Confined to one thread.
 */
public final class EngineQueue {
    /** Prompt tokens that an engine processes before it looks for a more urgent request. */
    static final long CHUNK_TOKENS = 2_048;

    /**
     * Loss for the running request that is preempted: it is delayed, and the engine may have to
     * process its prompt again. More than a full batch costs, less than a late response.
     */
    private static final double PREEMPTION_LOSS = 0.05;

    private final UrgencyMix mix = new UrgencyMix();
    private final DeferralFactor deferral = new DeferralFactor();

    EngineQueue() {}

    /**
     * Records a request that is about to be sent to an engine of the service.
     *
     * @param rank rank of the request
     * @param nowMillis monotonic time
     */
    public void sent(EngineRank rank, long nowMillis) {
        mix.sent(rank, nowMillis);
    }

    /**
     * Prompt tokens that an engine processes before the first event of a new request.
     *
     * @param use work of all VMs at the engine, without the request
     * @param rank rank of the request
     * @param uncachedTokens prompt tokens of the request itself
     * @return tokens, those of the request included
     */
    public long tokensToFirstEvent(UpstreamUse use, EngineRank rank, long uncachedTokens) {
        double tokensAhead = tokensAhead(use, rank);
        double chunkTokens = Math.min(CHUNK_TOKENS, use.promptTokens() - tokensAhead);
        return (long) (tokensAhead + chunkTokens) + uncachedTokens;
    }

    /**
     * Prompt tokens by which the speed of an engine is measured when the request has its first
     * event. The chunk in progress is left out: its rest takes between nothing and its full time,
     * and would outweigh a short prompt.
     *
     * @param use work of all VMs at the engine, without the request
     * @param rank rank of the request
     * @param uncachedTokens prompt tokens of the request itself
     * @return tokens, those of the request included
     */
    public long measuredTokens(UpstreamUse use, EngineRank rank, long uncachedTokens) {
        return (long) tokensAhead(use, rank) + uncachedTokens;
    }

    private double tokensAhead(UpstreamUse use, EngineRank rank) {
        double deferrableTokens = Math.min(use.promptTokens(), use.deferrablePromptTokens());
        double otherTokens = use.promptTokens() - deferrableTokens;
        return mix.fractionAhead(true, rank) * deferrableTokens
                + mix.fractionAhead(false, rank) * otherTokens;
    }

    /**
     * Updates the estimate with the first event of a response.
     *
     * @param rank rank of the request
     * @param expectedMillis time that was expected when it was placed
     * @param millis measured time
     * @param nowMillis monotonic time
     */
    public void recordFirstEvent(
            EngineRank rank, long expectedMillis, long millis, long nowMillis) {
        if (rank.deferrable()) {
            deferral.record(expectedMillis, millis, nowMillis);
        }
    }

    /** Factor on the expected time of a request for the work that will overtake it. */
    double overtakingFactor(EngineRank rank) {
        return rank.deferrable() ? deferral.factor() : 1;
    }

    /**
     * Time for which a new request waits for a place in the batch.
     *
     * @param use work of all VMs at the engine, without the request
     * @param rank rank of the request
     * @param slots requests in a batch
     * @return milliseconds, 0 if a place is free or a less urgent request has to leave its place
     */
    double slotWaitMillis(UpstreamUse use, EngineRank rank, int slots) {
        return ReplicaScorer.SLOT_WAIT_MILLIS * Math.max(0, requestsAhead(use, rank) + 1 - slots);
    }

    /** Loss of value if the request takes the place of another one in a full batch. */
    double preemptionLoss(UpstreamUse use, EngineRank rank, int slots) {
        boolean preempts = use.requests() >= slots && requestsAhead(use, rank) < slots;
        return preempts ? PREEMPTION_LOSS : 0;
    }

    private double requestsAhead(UpstreamUse use, EngineRank rank) {
        int deferrable = Math.min(use.requests(), use.deferrableRequests());
        return mix.fractionAhead(true, rank) * deferrable
                + mix.fractionAhead(false, rank) * (use.requests() - deferrable);
    }
}
