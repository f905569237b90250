package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.attempt.AttemptEnd;
import io.vanillapoint.core.attempt.AttemptHistory;
import io.vanillapoint.core.attempt.AttemptRules;
import io.vanillapoint.core.attempt.ReplicaPatience;
import io.vanillapoint.core.attempt.ReplicaPatience.Reason;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.TrafficVms;
import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.UpstreamReplica;
import io.vanillapoint.core.upstream.Placement;
import io.vanillapoint.core.upstream.PlacementQuery;
import io.vanillapoint.core.upstream.ReplicaTracker;
import io.vanillapoint.entry.port.AnswerEnvelope;
import io.vertx.core.buffer.Buffer;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Executes one admitted request, with its retries, until its response has ended.
 *
 * <p>Invariants: at most one attempt is active; the sink gets exactly one complete response, one
 * refusal or one abort, unless the caller has disconnected; a refusal marked "not run" is sent only
 * if no attempt may have run. Confined to one event loop.
 */
public final class RequestRun implements AttemptListener {
    /** Shortest time in which a replica can answer; no attempt is started with less. */
    private static final long LEAST_MILLIS = 15;

    /** Interval between two checks of a replica's progress. */
    private static final long LOOK_MILLIS = 150;

    private static final long RETRY_AFTER_MILLIS = 300;
    private static final int PLAIN_ERROR = 500;
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private final EntryContext context;
    private final RequestPlan plan;
    private final AnswerSink sink;
    private final Runnable whenDone;
    private final AttemptStarter starter;
    private final AttemptHistory history = new AttemptHistory();
    private final Set<String> tried = new HashSet<>();
    private final Set<RegionId> fullRegions = new HashSet<>();
    private final EventStreamReader events = new EventStreamReader(this::writeEvents);
    private Attempt attempt;
    private ReplicaUse use;
    private ReplicaPatience patience;
    private ReplicaTracker failedBefore;
    private String target = "";
    private RegionId targetRegion;
    private AnswerEnvelope answer;
    private Buffer plainBody;
    private long bytes;
    private long firstAtMillis = -1;
    private boolean headSent;
    private boolean done;
    private boolean callerGone;
    private long deadlineTimer = -1;
    private long patienceTimer = -1;

    /**
     * Creates a run that has not started.
     *
     * @param context shared services
     * @param plan request to execute
     * @param sink receives the response
     * @param whenDone called once when the run has ended
     */
    public RequestRun(EntryContext context, RequestPlan plan, AnswerSink sink, Runnable whenDone) {
        this.context = context;
        this.plan = plan;
        this.sink = sink;
        this.whenDone = whenDone;
        starter = new AttemptStarter(context, plan, this);
    }

    /** Starts the first attempt. */
    public void start() {
        long left = Math.max(1, plan.deadlineMillis() - now());
        deadlineTimer = context.vertx().setTimer(left, nothing -> deadline());
        if (!plan.relayed()) {
            context.retries().request(plan.service().name(), now());
        }
        later();
    }

    /** Called when the caller has closed its connection. */
    public void callerLeft() {
        if (done || callerGone) {
            return;
        }
        callerGone = true;
        boolean finish = plan.route().kind() == RouteKind.AT_MOST_ONCE && attempt != null;
        context.log().record(EventCode.CALLER_LEFT, id(), elapsed(), !finish);
        context.metrics().count("caller_left");
        if (!finish) {
            finish("left");
        }
    }

    /** Ends the request with an error because the process is about to stop. */
    public void giveUpAtStop() {
        endNow("process is stopping", "shutting_down");
    }

    /**
     * Tells whether no attempt can have reached a replica.
     *
     * @return true if no attempt may have run
     */
    public boolean notRun() {
        return history.sent() == 0;
    }

    @Override
    public void head(AnswerEnvelope head) {
        heard();
        if (use != null) {
            use.said(head);
            patience.head(now());
        }
        if (head.notRun() || head.otherReplica()) {
            reject(head);
            return;
        }
        boolean failure = head.status() >= PLAIN_ERROR;
        if (failure && retryInstead(head)) {
            return;
        }
        judge(failure);
        if (!head.success() && headSent) {
            attempt.cancel();
            attemptEnded(AttemptEnd.FAILED, "status " + head.status(), 0);
            return;
        }
        answer = head;
        boolean stream = head.success() && plan.route().kind() == RouteKind.EVENT_STREAM;
        plainBody = stream ? null : Buffer.buffer();
        if (stream && !headSent) {
            headSent = true;
            sink.head(head.status(), head.headers(), OptionalLong.empty());
        }
    }

    @Override
    public void data(Buffer data) {
        heard();
        if (plainBody != null) {
            if (context.memory().take(plainBody.length(), data.length())) {
                plainBody.appendBuffer(data);
            } else {
                tooLarge("answer");
            }
            return;
        }
        if (firstAtMillis < 0) {
            firstAtMillis = now();
        }
        if (use != null) {
            use.firstEvent();
        }
        long before = events.count();
        if (!events.read(data)) {
            tooLarge("event");
            return;
        }
        if (use != null) {
            patience.bytes(events.count() > before, now());
        }
        if (sink.full() && attempt != null) {
            attempt.pause();
            sink.onDrain(this::resume);
        }
    }

    @Override
    public void end(boolean framed) {
        if (plainBody == null && !framed && events.rest().length() > 0) {
            attemptEnded(AttemptEnd.LOST, "stream ended inside an event", 0);
            return;
        }
        if (plainBody == null) {
            writeEvents(events.rest());
            sink.end();
        } else {
            sendPlain();
        }
        attempt = null;
        context.log()
                .record(
                        EventCode.ANSWERED,
                        id(),
                        answer.status(),
                        bytes,
                        firstAtMillis < 0 ? elapsed() : firstAtMillis - plan.receivedAtMillis(),
                        elapsed());
        finish(answer.success() ? "answered" : "replica_failed");
    }

    @Override
    public void failed(AttemptEnd end, String cause, long retryAfterMillis) {
        attemptEnded(end, cause, retryAfterMillis);
    }

    /**
     * Schedules the next attempt after input that has already arrived: the close of the caller's
     * connection may be queued behind the current event.
     */
    private void later() {
        context.vertx().runOnContext(nothing -> context.gate().pass(this::nextIfWanted));
    }

    private void nextIfWanted() {
        if (!done && !callerGone) {
            next();
        }
    }

    private void next() {
        long now = now();
        if (plan.deadlineMillis() - now < LEAST_MILLIS) {
            giveUp("no_time", 0);
            return;
        }
        place(context.chooser().choose(query(now), now), now);
    }

    private void place(Placement placement, long now) {
        if (placement instanceof Placement.Local local) {
            sendLocal(local, now);
        } else if (placement instanceof Placement.Relay relay) {
            sendRelay(relay, now);
        } else if (placement instanceof Placement.Refuse refuse) {
            giveUp(refuse.reason().text(), refuse.retryAfterMillis());
        }
    }

    private PlacementQuery query(long now) {
        return new PlacementQuery(
                plan.route(),
                plan.service(),
                plan.envelope().prompt(),
                plan.body().length(),
                region -> plan.allowedIn(region) && !fullRegions.contains(region),
                tried,
                !plan.relayed(),
                now - plan.receivedAtMillis(),
                plan.deadlineMillis() - now);
    }

    private void sendLocal(Placement.Local local, long now) {
        UpstreamReplica replica = local.replica().info();
        use = new ReplicaUse(context, plan, local.replica(), local.uncachedTokens(), now);
        target = replica.id();
        tried.add(replica.id());
        history.sending();
        context.log()
                .record(
                        EventCode.PLACED,
                        id(),
                        replica.id(),
                        history.sent(),
                        local.uncachedTokens(),
                        local.expectedMillis(),
                        now - plan.receivedAtMillis(),
                        local.cacheSource().map(UpstreamReplica::id).orElse(""),
                        local.replica().entryState(),
                        now - local.replica().changedAtMillis());
        patience = new ReplicaPatience(plan.route(), plan.relayed(), now);
        starter.local(local, resumeAfter(), started -> attempt = started);
        watchPatience();
    }

    private void sendRelay(Placement.Relay relay, long now) {
        List<MemberInfo> vms =
                TrafficVms.sample(
                        context.fleet().relays(relay.region(), now),
                        ThreadLocalRandom.current()::nextDouble);
        MemberInfo vm = vms.get(Math.floorMod(id().hashCode() + history.sent(), vms.size()));
        use = null;
        target = vm.vm();
        targetRegion = relay.region();
        history.sending();
        context.log()
                .record(
                        EventCode.RELAYED,
                        id(),
                        vm.vm(),
                        history.sent(),
                        relay.expectedMillis(),
                        now - plan.receivedAtMillis());
        starter.relay(vm, resumeAfter(), started -> attempt = started);
    }

    private OptionalLong resumeAfter() {
        return events.lastId().isPresent() ? events.lastId() : plan.envelope().lastEventId();
    }

    private void heard() {
        if (use != null) {
            use.tracker().answered(now());
        }
    }

    private void reject(AnswerEnvelope head) {
        attempt.cancel();
        String cause =
                head.otherReplica()
                        ? "address belongs to another replica"
                        : "status " + head.status();
        if (head.otherReplica() && use != null) {
            use.tracker().unreachable(now());
        }
        // Another replica may have capacity sooner than this one.
        long wait = use == null ? head.retryAfterMillis().orElse(0) : 0;
        attemptEnded(AttemptEnd.REJECTED, cause, wait);
    }

    /**
     * Records the outcome for the replica's health. Some requests fail on every replica, so the
     * failure of a request that may be retried counts against a replica only if another replica
     * succeeds with it.
     */
    private void judge(boolean failure) {
        if (!failure && failedBefore != null) {
            failedBefore.judged(true);
        }
        if (use != null && (!failure || !plan.route().mayRunAgain())) {
            use.tracker().judged(failure);
        }
    }

    /** Abandons a response that exceeds a size limit; the request has run. */
    private void tooLarge(String what) {
        attempt.cancel();
        if (use != null) {
            use.tracker().judged(true);
        }
        attemptEnded(AttemptEnd.GARBLED, what + " exceeds the size limit", 0);
    }

    /** Retries the request if possible; otherwise the failure goes to the caller. */
    private boolean retryInstead(AnswerEnvelope head) {
        if (headSent || callerGone) {
            return false;
        }
        history.ended(AttemptEnd.FAILED);
        long now = now();
        if (!AttemptRules.mayTryAgain(plan.route(), history, AttemptEnd.FAILED) || onlyOnce()) {
            return false;
        }
        Placement placement = context.chooser().choose(query(now), now);
        if (placement instanceof Placement.Refuse || !RetryQuestion.granted(context, plan)) {
            return false;
        }
        attempt.cancel();
        failedBefore = use == null ? null : use.tracker();
        logEnd(AttemptEnd.FAILED, "status " + head.status(), "again");
        release();
        place(placement, now);
        return true;
    }

    private void attemptEnded(AttemptEnd end, String cause, long retryAfterMillis) {
        if (done) {
            return;
        }
        attempt = null;
        if (end.unreachable() && use != null && !heardSinceSent()) {
            use.tracker().unreachable(now());
            context.log().record(EventCode.REPLICA_UNREACHABLE, target, cause);
        }
        if (end == AttemptEnd.NOT_SENT && use == null) {
            context.fleet().unreachable(target, now());
        } else if (end == AttemptEnd.NOT_PLACED) {
            fullRegions.add(targetRegion);
        }
        release();
        history.ended(end);
        boolean again =
                !callerGone
                        && AttemptRules.mayTryAgain(plan.route(), history, end)
                        && (!history.mayHaveRun() || !onlyOnce())
                        && (!end.reached() || RetryQuestion.granted(context, plan));
        logEnd(end, cause, again ? "again" : "over");
        if (again) {
            events.restart();
            later();
        } else {
            giveUp(cause(end), retryAfterMillis);
        }
    }

    /** A relayed request is tried on one replica only; retries are up to the relaying VM. */
    private boolean onlyOnce() {
        return plan.relayed();
    }

    private boolean heardSinceSent() {
        return use.tracker().answeredAtMillis() >= use.sentAtMillis();
    }

    private void giveUp(String reason, long retryAfterMillis) {
        if (headSent) {
            sink.abort();
            context.log().record(EventCode.REQUEST_FAILED, id(), 0, reason, elapsed());
            finish("broken_off");
            return;
        }
        boolean late = plan.deadlineMillis() - now() < LEAST_MILLIS;
        if (history.mayHaveRun()) {
            Refusal refusal = late ? Refusal.timedOut() : Refusal.failed(reason);
            sink.refuse(refusal);
            context.log()
                    .record(EventCode.REQUEST_FAILED, id(), refusal.status(), reason, elapsed());
            finish("failed");
            return;
        }
        long quiet = context.chooser().quietMillis(query(now()), now());
        long wait = retryAfterMillis > 0 ? retryAfterMillis : Math.max(RETRY_AFTER_MILLIS, quiet);
        boolean reached = history.sent() > 0;
        sink.refuse(reached ? Refusal.rejected(reason, wait) : Refusal.notRun(reason, wait));
        context.log().record(EventCode.REFUSED, id(), Refusal.UNAVAILABLE, reason, wait, elapsed());
        finish("refused");
    }

    private void sendPlain() {
        if (!answer.notRun() && NOT_RUN_STATUSES.contains(answer.status())) {
            sink.refuse(Refusal.failed("replica_status_" + answer.status()));
            return;
        }
        headSent = true;
        bytes = plainBody.length();
        sink.head(answer.status(), answer.headers(), OptionalLong.of(plainBody.length()));
        if (plainBody.length() > 0) {
            sink.write(plainBody);
        }
        sink.end();
    }

    private void writeEvents(Buffer whole) {
        if (whole.length() > 0) {
            bytes += whole.length();
            sink.write(whole);
        }
    }

    private void resume() {
        if (attempt != null) {
            attempt.resume();
        }
    }

    private void watchPatience() {
        if (!plan.route().mayRunAgain()) {
            return;
        }
        cancelTimer(patienceTimer);
        patienceTimer =
                context.vertx().setTimer(patience.firstLookMillis(), nothing -> lookAtReplica());
    }

    /**
     * Abandons the attempt if the replica makes too little progress and a retry is possible. For a
     * relayed request it is abandoned in any case, and the relaying VM decides on a retry.
     */
    private void lookAtReplica() {
        patienceTimer = -1;
        if (done || attempt == null || use == null) {
            return;
        }
        long now = now();
        Optional<Reason> reason = patience.leave(use.heardAtMillis(), now);
        if (reason.isPresent() && (plan.relayed() || mayLeaveReplica(now))) {
            attempt.cancel();
            if (reason.get() == Reason.STALLED) {
                use.tracker().judged(true);
            }
            attemptEnded(AttemptEnd.LOST, reason.get().text(), 0);
            return;
        }
        patienceTimer = context.vertx().setTimer(LOOK_MILLIS, nothing -> lookAtReplica());
    }

    private boolean mayLeaveReplica(long now) {
        return history.sent() < plan.route().attempts()
                && context.retries().left(plan.service().name(), now) >= 1
                && !(context.chooser().choose(query(now), now) instanceof Placement.Refuse);
    }

    private void deadline() {
        deadlineTimer = -1;
        endNow("deadline", "timeout");
    }

    private void endNow(String cause, String reason) {
        if (done) {
            return;
        }
        if (attempt != null) {
            attempt.cancel();
            history.ended(AttemptEnd.LOST);
            logEnd(AttemptEnd.LOST, cause, "over");
            attempt = null;
        }
        giveUp(reason, 0);
    }

    private void logEnd(AttemptEnd end, String cause, String next) {
        context.log()
                .record(EventCode.ATTEMPT_ENDED, id(), target, end.name(), cause, next, elapsed());
    }

    private void finish(String outcome) {
        if (done) {
            return;
        }
        done = true;
        if (attempt != null) {
            attempt.cancel();
            attempt = null;
        }
        release();
        cancelTimer(deadlineTimer);
        cancelTimer(patienceTimer);
        context.metrics().ended(plan.route().kind().name(), outcome, elapsed());
        whenDone.run();
    }

    private void cancelTimer(long timer) {
        if (timer >= 0) {
            context.vertx().cancelTimer(timer);
        }
    }

    private void release() {
        if (plainBody != null) {
            context.memory().giveBack(plainBody.length());
            plainBody = null;
        }
        if (use != null) {
            use.release();
            use = null;
        }
    }

    private static String cause(AttemptEnd end) {
        return "attempt_" + end.name().toLowerCase(Locale.ROOT);
    }

    private String id() {
        return plan.envelope().requestId();
    }

    private long now() {
        return context.clock().getAsLong();
    }

    private long elapsed() {
        return now() - plan.receivedAtMillis();
    }
}
