package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.core.fleet.UpstreamUse;
import io.vanillapoint.core.prompt.PromptSummary;
import io.vanillapoint.core.upstream.DeferrableWork;
import io.vanillapoint.core.upstream.EngineQueue;
import io.vanillapoint.core.upstream.EngineRank;
import io.vanillapoint.core.upstream.ReplicaTracker;
import io.vanillapoint.core.upstream.ServiceTimes;
import io.vanillapoint.entry.port.ResponseEnvelope;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

/**
 * Load that one attempt adds to its replica, counted from sending until the attempt ends.
 *
 * <p>Invariant: the prompt tokens and the request are each released exactly once. Confined to one
 * event loop.
 */
final class ReplicaUse {
    /**
     * Jitter on the pause that an overloaded replica asks for, so that not all VMs return to it at
     * once.
     */
    private static final long RETURN_JITTER_MILLIS = 500;

    private final EntryContext context;
    private final RequestPlan plan;
    private final ReplicaTracker tracker;
    private final long uncachedTokens;
    private final long sentAtMillis;
    private final long queuedTokens;
    private final long expectedMillis;
    private final Optional<EngineRank> rank;
    private Optional<ResponseWatch> watch = Optional.empty();
    private final double timeFactor;
    private boolean promptReleased;

    /** Adds the request to its replica's load. */
    ReplicaUse(
            EntryContext context,
            RequestPlan plan,
            ReplicaTracker tracker,
            long uncachedTokens,
            long expectedMillis,
            long nowMillis) {
        this.context = context;
        this.plan = plan;
        this.tracker = tracker;
        this.uncachedTokens = uncachedTokens;
        this.expectedMillis = expectedMillis;
        this.sentAtMillis = nowMillis;
        String replica = tracker.info().id();
        UpstreamUse otherVmsUse = context.fleet().otherVmUse(replica);
        UpstreamUse use = tracker.outstanding().plus(otherVmsUse);
        rank = plan.rank(context.pool().loadAwareness(), nowMillis);
        EngineQueue queue = context.chooser().engineQueue(plan.service().name());
        queuedTokens =
                rank.map(present -> queue.measuredTokens(use, present, uncachedTokens))
                        .orElse(use.promptTokens() + uncachedTokens);
        timeFactor =
                ServiceTimes.loadFactor(use, tracker.info().slots())
                        * tracker.slowdownFactor(nowMillis);
        if (plan.service().coldPerSecond() > 0 && tracker.mayBeCold(nowMillis)) {
            logColdUse(nowMillis);
        }
        PromptSummary prompt = plan.envelope().prompt().orElse(null);
        tracker.dispatched(uncachedTokens, prompt, nowMillis);
        rank.ifPresent(present -> queue.sent(present, nowMillis));
        ifDeferrable(work -> work.dispatched(uncachedTokens));
        if (prompt != null) {
            context.sessions().recordSent(prompt, replica, nowMillis);
        }
    }

    private void logColdUse(long nowMillis) {
        context.log()
                .record(
                        EventCode.COLD_REPLICA_USED,
                        plan.envelope().requestId(),
                        tracker.info().id(),
                        tracker.coldRemainingMillis(nowMillis),
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
    long lastResponseAtMillis() {
        return tracker.lastReceivedMillis();
    }

    /** Records that the replica has sent something for this request. */
    void recordReceived(long nowMillis) {
        tracker.recordReceived(sentAtMillis, nowMillis);
    }

    /** Records that no connection to the replica could be opened for this request. */
    void connectionFailed(long nowMillis) {
        tracker.connectionFailed(sentAtMillis, nowMillis);
    }

    /** Begins to watch for the response, since the request is about to be written. */
    void awaitResponse() {
        watch = Optional.of(new ResponseWatch(context, plan, tracker, expectedMillis));
    }

    /** Processes what the response headers say about the replica's state. */
    void readHead(ResponseEnvelope head) {
        watch.ifPresent(response -> response.headReceived(head));
        if (head.misdirected()) {
            return;
        }
        long now = context.clock().getAsLong();
        String id = plan.envelope().requestId();
        String replica = tracker.info().id();
        for (String reason : head.invalidHeaders()) {
            context.log().record(EventCode.HEADER_IGNORED, id, replica, reason);
        }
        if (head.leaving() && tracker.recordLeaving()) {
            long ageMillis = now - tracker.changedAtMillis();
            context.log()
                    .record(
                            EventCode.REPLICA_LEAVING,
                            id,
                            replica,
                            tracker.entryState(),
                            ageMillis);
            context.metrics().count("replicas_leaving");
        }
        head.load().ifPresent(load -> context.pool().recordLoad(tracker, load, now));
        recordServiceTime(head, now);
        head.rejectionLimit().ifPresent(limit -> recordRejectionLimit(limit, now));
        if (head.status() != Refusal.UNAVAILABLE) {
            tracker.recordAccepted(now);
        } else if (head.retryAfterMillis().isEmpty()) {
            backOffIfBrittle(now);
        } else {
            long requestedMillis = head.retryAfterMillis().getAsLong();
            long jitterMillis = ThreadLocalRandom.current().nextLong(RETURN_JITTER_MILLIS);
            long appliedMillis = tracker.backoffRequested(requestedMillis, jitterMillis, now);
            context.log()
                    .record(
                            EventCode.REPLICA_QUIET,
                            id,
                            replica,
                            requestedMillis,
                            appliedMillis,
                            jitterMillis);
            context.metrics().count("replicas_quiet");
        }
    }

    private void recordServiceTime(ResponseEnvelope head, long now) {
        boolean plain = plan.envelope().prompt().isEmpty();
        if (plain && head.success() && context.pool().loadAwareness().active(now)) {
            tracker.serviceTime().record(now - sentAtMillis, timeFactor);
        }
    }

    private void recordRejectionLimit(int perSecond, long now) {
        if (context.pool().recordRejectionLimit(tracker, perSecond, now)) {
            context.log()
                    .record(
                            EventCode.REPLICA_BRITTLE,
                            tracker.info().id(),
                            plan.service().name(),
                            perSecond,
                            context.roster().regionVms().size());
        }
    }

    private void backOffIfBrittle(long now) {
        context.chooser()
                .rejectionBackoffMillis(tracker, now)
                .ifPresent(
                        millis -> {
                            long jitterMillis =
                                    ThreadLocalRandom.current().nextLong(RETURN_JITTER_MILLIS);
                            tracker.backoffRequested(millis, jitterMillis, now);
                            context.metrics().count("replicas_left_alone");
                        });
    }

    /** Records the time to the first event; later calls have no effect. */
    void recordFirstEvent() {
        if (!promptReleased) {
            releasePrompt();
            long millis = context.clock().getAsLong() - sentAtMillis;
            String service = plan.service().name();
            context.chooser().speed(service).recordFirstEvent(queuedTokens, millis);
            long now = context.clock().getAsLong();
            rank.ifPresent(
                    present ->
                            context.chooser()
                                    .engineQueue(service)
                                    .recordFirstEvent(present, expectedMillis, millis, now));
        }
    }

    /** Records that this VM gives the attempt up although the replica may still answer. */
    void abandoned() {
        watch.ifPresent(ResponseWatch::abandoned);
    }

    /** Removes the request from its replica's load, whatever its outcome. */
    void release() {
        watch.ifPresent(ResponseWatch::ended);
        if (!promptReleased) {
            releasePrompt();
        }
        tracker.finished();
        ifDeferrable(DeferrableWork::finished);
    }

    private void releasePrompt() {
        promptReleased = true;
        tracker.recordPromptProcessed(uncachedTokens);
        ifDeferrable(work -> work.promptProcessed(uncachedTokens));
    }

    private void ifDeferrable(Consumer<DeferrableWork> action) {
        if (rank.filter(EngineRank::deferrable).isPresent()) {
            action.accept(tracker.deferrableWork());
        }
    }
}
