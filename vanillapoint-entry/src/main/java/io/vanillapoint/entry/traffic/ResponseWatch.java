package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.core.upstream.AwaitedResponse;
import io.vanillapoint.core.upstream.ReplicaTracker;
import io.vanillapoint.entry.port.ResponseEnvelope;
import java.util.OptionalInt;

/**
 * Watches one attempt for the first byte of its response and tells the replica's tracker if none
 * arrives.
 *
 * <p>Invariants: it never ends the attempt, so requests that may not be repeated are watched as
 * well; it is silent once the attempt has ended. Confined to one event loop.
 */
final class ResponseWatch {
    /** Earliest time at which silence is evidence. */
    private static final long FIRST_CHECK_MILLIS = 400;

    private static final long CHECK_INTERVAL_MILLIS = 150;

    private final EntryContext context;
    private final RequestPlan plan;
    private final ReplicaTracker replica;
    private final long sentAtMillis;
    private final AwaitedResponse response;
    private final RestartableTimer timer;

    ResponseWatch(
            EntryContext context, RequestPlan plan, ReplicaTracker replica, long expectedMillis) {
        this.context = context;
        this.plan = plan;
        this.replica = replica;
        sentAtMillis = context.clock().getAsLong();
        OptionalInt urgency = plan.urgency(plan.rank(context.pool().loadAwareness(), sentAtMillis));
        response = replica.awaitResponse(expectedMillis, urgency, sentAtMillis);
        timer = new RestartableTimer(context.vertx(), this::check);
        timer.start(FIRST_CHECK_MILLIS);
    }

    /** Processes the head of the response, which ends the watch. */
    void headReceived(ResponseEnvelope head) {
        timer.cancel();
        long now = context.clock().getAsLong();
        if (head.misdirected()) {
            response.ended();
        } else if (head.notExecuted() || head.status() == Refusal.UNAVAILABLE) {
            response.rejected(now);
        } else {
            response.answered(now);
        }
    }

    /** Ends the watch of an attempt that this VM closes although the replica may still answer. */
    void abandoned() {
        timer.cancel();
        if (response.pending() && !behind()) {
            long now = context.clock().getAsLong();
            if (response.abandoned(now)) {
                record("given up", now);
            }
        }
        response.ended();
    }

    /** Ends the watch of an attempt that has ended in another way. */
    void ended() {
        timer.cancel();
        response.ended();
    }

    private void check() {
        long now = context.clock().getAsLong();
        if (!behind() && response.check(now)) {
            record("waiting", now);
        }
        if (response.pending()) {
            timer.start(CHECK_INTERVAL_MILLIS);
        }
    }

    /** Tells whether responses may have arrived that this VM has not read yet. */
    private boolean behind() {
        return context.gate().receiveDelayMillis() > 0;
    }

    private void record(String state, long nowMillis) {
        context.metrics().count("requests_unanswered");
        context.log()
                .record(
                        EventCode.REQUEST_UNANSWERED,
                        plan.envelope().requestId(),
                        replica.info().id(),
                        state,
                        nowMillis - sentAtMillis,
                        response.expectedMillis(),
                        Math.round(100 * replica.unansweredRate()));
    }
}
