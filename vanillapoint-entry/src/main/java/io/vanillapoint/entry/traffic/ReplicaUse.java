package io.vanillapoint.entry.traffic;

import io.vanillapoint.core.fleet.UpstreamUse;
import io.vanillapoint.core.prompt.PromptShape;
import io.vanillapoint.core.upstream.ReplicaTracker;

/**
 * What one attempt has outstanding at its replica, from sending to its end.
 *
 * <p>Invariant: prompt tokens and the request itself are each given back exactly once. Confined to
 * one event loop.
 */
final class ReplicaUse {
    private final EntryContext context;
    private final RequestPlan plan;
    private final ReplicaTracker tracker;
    private final long uncachedTokens;
    private final long sentAtMillis;
    private final long tokensAhead;
    private boolean promptRead;

    /** Counts the request at its replica. */
    ReplicaUse(
            EntryContext context,
            RequestPlan plan,
            ReplicaTracker tracker,
            long uncachedTokens,
            long nowMillis) {
        this.context = context;
        this.plan = plan;
        this.tracker = tracker;
        this.uncachedTokens = uncachedTokens;
        this.sentAtMillis = nowMillis;
        String replica = tracker.info().id();
        UpstreamUse elsewhere = context.fleet().useElsewhere(replica);
        tokensAhead = tracker.use().plus(elsewhere).promptTokens() + uncachedTokens;
        PromptShape prompt = plan.envelope().prompt().orElse(null);
        tracker.dispatched(uncachedTokens, prompt, nowMillis);
        if (prompt != null) {
            context.sessions().sent(prompt, replica, nowMillis);
        }
    }

    ReplicaTracker tracker() {
        return tracker;
    }

    long sentAtMillis() {
        return sentAtMillis;
    }

    /** When the replica last sent anything, to any request. */
    long heardAtMillis() {
        return tracker.answeredAtMillis();
    }

    /** Learns from the first event; later ones change nothing. */
    void firstEvent() {
        if (!promptRead) {
            giveBackPrompt();
            long millis = context.clock().getAsLong() - sentAtMillis;
            context.chooser().speed(plan.service().name()).firstEvent(tokensAhead, millis);
        }
    }

    /** Counts the end of the request, however it ended. */
    void release() {
        if (!promptRead) {
            giveBackPrompt();
        }
        tracker.finished();
    }

    private void giveBackPrompt() {
        promptRead = true;
        tracker.promptRead(uncachedTokens);
    }
}
