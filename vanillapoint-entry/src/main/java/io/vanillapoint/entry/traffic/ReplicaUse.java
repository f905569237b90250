package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.core.fleet.UpstreamUse;
import io.vanillapoint.core.prompt.PromptShape;
import io.vanillapoint.core.upstream.ReplicaTracker;
import io.vanillapoint.entry.port.AnswerEnvelope;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Load that one attempt adds to its replica, counted from sending until the attempt ends.
 *
 * <p>Invariant: the prompt tokens and the request are each released exactly once. Confined to one
 * event loop.
 */
final class ReplicaUse {
    /** Jitter over which VMs resume sending to a replica that was overloaded. */
    private static final long RETURN_SPREAD_MILLIS = 500;

    private final EntryContext context;
    private final RequestPlan plan;
    private final ReplicaTracker tracker;
    private final long uncachedTokens;
    private final long sentAtMillis;
    private final long tokensAhead;
    private boolean promptRead;

    /** Adds the request to its replica's load. */
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

    /** Time of the replica's last response data, for any request. */
    long heardAtMillis() {
        return tracker.answeredAtMillis();
    }

    /** Processes what the response headers say about the replica's state. */
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

    /** Records the time to the first event; later calls have no effect. */
    void firstEvent() {
        if (!promptRead) {
            giveBackPrompt();
            long millis = context.clock().getAsLong() - sentAtMillis;
            context.chooser().speed(plan.service().name()).firstEvent(tokensAhead, millis);
        }
    }

    /** Removes the request from its replica's load, whatever its outcome. */
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
