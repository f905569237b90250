package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.core.fleet.UpstreamUse;
import io.vanillapoint.core.prompt.PromptShape;
import io.vanillapoint.core.upstream.ReplicaTracker;
import io.vanillapoint.entry.port.AnswerEnvelope;
import java.util.concurrent.ThreadLocalRandom;

/**
 * What one attempt has outstanding at its replica, from sending to its end.
 *
 * <p>Invariant: prompt tokens and the request itself are each given back exactly once. Confined to
 * one event loop.
 */
final class ReplicaUse {
    /** VMs return to a replica that was full spread over this time. */
    private static final long RETURN_SPREAD_MILLIS = 500;

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
        if (plan.service().coldPerSecond() > 0 && tracker.mayBeCold(nowMillis)) {
            logColdUse(nowMillis);
        }
        PromptShape prompt = plan.envelope().prompt().orElse(null);
        tracker.dispatched(uncachedTokens, prompt, nowMillis);
        if (prompt != null) {
            context.sessions().sent(prompt, replica, nowMillis);
        }
    }

    private void logColdUse(long nowMillis) {
        context.log()
                .record(
                        EventCode.COLD_REPLICA_USED,
                        plan.envelope().requestId(),
                        tracker.info().id(),
                        tracker.coldLeftMillis(nowMillis),
                        context.roster().regionVms().size());
        context.metrics().count("cold_replicas_used");
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

    /** Takes what the replica says of itself in the head of an answer. */
    void said(AnswerEnvelope head) {
        if (head.otherReplica()) {
            return;
        }
        long now = context.clock().getAsLong();
        String id = plan.envelope().requestId();
        String replica = tracker.info().id();
        for (String reason : head.misread()) {
            context.log().record(EventCode.HEADER_IGNORED, id, replica, reason);
        }
        if (head.leaving() && tracker.saysLeaving()) {
            long age = now - tracker.changedAtMillis();
            context.log().record(EventCode.REPLICA_LEAVING, id, replica, tracker.entryState(), age);
            context.metrics().count("replicas_leaving");
        }
        if (head.status() != Refusal.UNAVAILABLE) {
            tracker.tookWork(now);
        } else if (head.retryAfterMillis().isPresent()) {
            long asked = head.retryAfterMillis().getAsLong();
            long spread = ThreadLocalRandom.current().nextLong(RETURN_SPREAD_MILLIS);
            long kept = tracker.asksForQuiet(asked, spread, now);
            context.log().record(EventCode.REPLICA_QUIET, id, replica, asked, kept, spread);
            context.metrics().count("replicas_quiet");
        }
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
