package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.core.attempt.AttemptHistory;
import io.vanillapoint.core.attempt.AttemptMonitor.Reason;
import io.vanillapoint.core.attempt.AttemptOutcome;
import io.vanillapoint.core.attempt.RetryPolicy;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.quarantine.AttemptStage;
import io.vanillapoint.core.upstream.Placement;
import io.vanillapoint.core.upstream.RefusalReason;
import io.vanillapoint.entry.port.ResponseEnvelope;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/**
 * Executes one admitted request, with its retries, until its response has ended.
 *
 * <p>Invariants: at most one attempt is active beside one whose replica is silent; a silent one
 * stays open until another has delivered something, or works on the same stream for as long as
 * {@link AttemptPair} permits; the sink gets exactly one complete response, one refusal or one
 * abort, unless the caller has disconnected; a refusal marked "not run" is sent only if no attempt
 * may have run; a relayed request runs on one replica at most, since retries are up to the relaying
 * VM. Confined to one event loop.
 */
public final class RequestRun implements RunningAttempt.Owner {
    /** Shortest time in which a replica can answer; no attempt is started with less. */
    private static final long MIN_ATTEMPT_MILLIS = 15;

    /** Interval between two checks of a replica's progress. */
    private static final long MONITOR_INTERVAL_MILLIS = 150;

    private final EntryContext context;
    private final RequestPlan plan;
    private final ResponseSink sink;
    private final Runnable onDone;
    private final ResponseDelivery delivery;
    private final AttemptStarter starter;
    private final RequestLog log;
    private final ReplicaOutcomes outcomes;
    private final RestartableTimer deadline;
    private final RestartableTimer progressCheck;
    private final AttemptHistory history = new AttemptHistory();
    private final PlacementSearch search;
    private final AttemptPair attempts;
    private long firstDataAtMillis = -1;
    private boolean done;
    private boolean callerDisconnected;

    /**
     * Creates a run that has not started.
     *
     * @param context services shared by all requests
     * @param plan request to execute
     * @param sink receives the response
     * @param onDone called once when the run has ended
     */
    public RequestRun(EntryContext context, RequestPlan plan, ResponseSink sink, Runnable onDone) {
        this.context = context;
        this.plan = plan;
        this.sink = sink;
        this.onDone = onDone;
        delivery = new ResponseDelivery(sink);
        starter = new AttemptStarter(context, plan);
        search = new PlacementSearch(context, plan, delivery::begun);
        outcomes = new ReplicaOutcomes(context, plan);
        deadline =
                new RestartableTimer(
                        context.vertx(),
                        () -> guarded("deadline", () -> terminate("deadline", Refusal.TIMEOUT)));
        progressCheck =
                new RestartableTimer(
                        context.vertx(), () -> guarded("checking a replica", this::checkReplica));
        log = new RequestLog(context, plan);
        attempts =
                new AttemptPair(context, log, () -> guarded("ending an overlap", this::endOverlap));
    }

    /** Starts the first attempt. */
    public void start() {
        deadline.start(plan.deadlineMillis() - now());
        if (!plan.relayed()) {
            context.retries().recordRequest(plan.service().name(), now());
        }
        if (search.refusedOnArrival(now(), MIN_ATTEMPT_MILLIS)) {
            guarded("refusing", () -> giveUp(RefusalReason.TOO_LATE.text(), 0));
            return;
        }
        scheduleNextAttempt();
    }

    /** Called when the caller has closed its connection. */
    public void callerDisconnected() {
        if (done || callerDisconnected) {
            return;
        }
        callerDisconnected = true;
        boolean keepRunning =
                plan.route().kind() == RouteKind.AT_MOST_ONCE && attempts.current() != null;
        context.log().record(EventCode.CALLER_LEFT, id(), elapsed(), !keepRunning);
        context.metrics().count("caller_left");
        if (!keepRunning) {
            finish("left");
        }
    }

    /** Ends the request with an error because the process is about to stop. */
    public void abortForShutdown() {
        guarded("stopping", () -> terminate("process is stopping", "shutting_down"));
    }

    /** Ends an attempt that has not begun to respond if its prompt is withheld by now. */
    public void recheckPrompt() {
        RunningAttempt current = attempts.current();
        boolean waiting =
                current != null
                        && current.use().isPresent()
                        && current.stage(now()) == AttemptStage.WAITING;
        if (done || !waiting || !context.prompts().withholds(plan)) {
            return;
        }
        if (attempts.hasSilent()) {
            reinstateSilent();
        } else {
            terminate("prompt is withheld", PromptGuard.REASON);
        }
    }

    /**
     * Tells whether no attempt can have reached a replica, so that the customer's tokens can be
     * refunded.
     *
     * @return true if every attempt ended before the request was sent
     */
    public boolean notSent() {
        return history.sent() == 0;
    }

    @Override
    public void received(RunningAttempt attempt, String step, Runnable reaction) {
        if (!done && attempts.contains(attempt)) {
            guarded(step, reaction);
        }
    }

    @Override
    public void head(RunningAttempt attempt, ResponseEnvelope head) {
        attempt.headReceived(head, now());
        if (attempts.isSilent(attempt) && !head.success()) {
            dropSilent(AttemptOutcome.FAILED, "status " + head.status());
            return;
        }
        if (head.notExecuted() || head.misdirected()) {
            reject(attempt, head);
            return;
        }
        boolean failure = head.serverError();
        if (failure && retryAfterFailure(attempt, head)) {
            return;
        }
        outcomes.answered(attempt, failure);
        boolean usable = head.success() || !(delivery.begun() || head.claimsNotRun());
        if (!usable || (failure && attempts.hasSilent())) {
            attempt.cancel();
            attemptEnded(attempt, AttemptOutcome.FAILED, "status " + head.status(), 0);
            return;
        }
        boolean stream = head.success() && plan.route().kind() == RouteKind.EVENT_STREAM;
        if (stream && !delivery.accepts(head)) {
            abandon(attempt, "response is of another type than the stream");
            return;
        }
        attempt.accept(head, stream);
        if (stream && attempts.hasSilent()) {
            attempts.engineBegan(attempt);
        } else if (stream) {
            beginStream(attempt);
        }
    }

    @Override
    public void data(RunningAttempt attempt, Buffer data) {
        attempt.replicaResponded(now());
        if (attempt.buffered()) {
            bufferData(attempt, data);
        } else if (attempts.hasSilent()) {
            contend(attempt, data);
        } else {
            streamData(attempt, data);
        }
    }

    @Override
    public void end(RunningAttempt attempt, boolean framed) {
        boolean streamed = !attempt.buffered();
        if (streamed && delivery.brokeOff(attempt, framed)) {
            failed(attempt, AttemptOutcome.LOST, "stream ended inside an event or without any", 0);
            return;
        }
        ResponseEnvelope response = attempt.response();
        settle(attempt);
        outcomes.completed(attempt);
        attempts.endCurrent();
        try {
            if (streamed) {
                delivery.endStream();
            } else {
                delivery.send(response, attempt.body());
            }
        } finally {
            attempt.release();
        }
        log.answered(response.status(), delivery.bytesSent(), firstDataAtMillis, now());
        finish(response.success() ? "answered" : "replica_failed");
    }

    @Override
    public void stalled(RunningAttempt attempt) {
        if (attempt == attempts.current() && acquireRepeat(now())) {
            replace(attempt, Reason.SILENT);
        }
    }

    @Override
    public void failed(
            RunningAttempt attempt, AttemptOutcome outcome, String cause, long retryAfterMillis) {
        if (outcome == AttemptOutcome.LOST) {
            outcomes.broken(attempt);
        } else if (outcome == AttemptOutcome.GARBLED) {
            outcomes.misbehaved(attempt);
        }
        if (attempts.isSilent(attempt)) {
            outcomes.ended(attempt, outcome, cause);
            dropSilent(outcome, cause);
        } else {
            attemptEnded(attempt, outcome, cause, retryAfterMillis);
        }
    }

    private void bufferData(RunningAttempt attempt, Buffer data) {
        attempt.progress().received(1);
        if (!attempt.buffer(data)) {
            abandon(attempt, "answer exceeds the size limit");
        }
    }

    private void streamData(RunningAttempt attempt, Buffer data) {
        if (firstDataAtMillis < 0) {
            firstDataAtMillis = now();
        }
        attempt.ifAtReplica(ReplicaUse::recordFirstEvent);
        long newEvents = delivery.readStream(attempt, data);
        if (newEvents < 0) {
            abandon(attempt, delivery.defect().orElseThrow());
            return;
        }
        attempt.progress().received(newEvents);
        attempt.bytesReceived(newEvents > 0, now());
        outcomes.progressed(attempt);
        if (sink.isFull()) {
            attempt.pause();
            sink.onDrain(() -> guarded("resuming a response", () -> attempt.resume(now())));
        }
    }

    /** Keeps back what the silent attempt and the one beside it send until one has an event. */
    private void contend(RunningAttempt attempt, Buffer data) {
        attempt.keepBack(data);
        EventStreamReader.Contribution contribution = delivery.examine(attempt);
        if (contribution.defect().isPresent()) {
            abandon(attempt, contribution.defect().get());
        } else if (contribution.newEvent()) {
            settle(attempt);
        }
    }

    /** Keeps the attempt that has answered, and ends the one beside it. */
    private void settle(RunningAttempt attempt) {
        if (attempts.isSilent(attempt)) {
            reinstateSilent();
            return;
        }
        dropSilent(AttemptOutcome.SUPERSEDED, "another replica has answered");
    }

    /** Ends the silent attempt and goes on with the one beside it, if there is one by now. */
    private void dropSilent(AttemptOutcome outcome, String cause) {
        attempts.endSilent(outcome, cause);
        deliverKeptBack(attempts.current());
    }

    /** Ends the silent attempt of a stream that another engine works on by now. */
    private void endOverlap() {
        if (!done && attempts.hasSilent()) {
            dropSilent(AttemptOutcome.SUPERSEDED, "another engine works on the stream");
        }
    }

    /** The VM that relayed the request has to know when an engine works on the stream. */
    private void beginStream(RunningAttempt attempt) {
        delivery.beginStream(attempt);
        if (plan.relayed()) {
            delivery.sendStreamHead();
        }
    }

    private void deliverKeptBack(RunningAttempt attempt) {
        if (attempt == null || attempt.response() == null || attempt.buffered()) {
            return;
        }
        beginStream(attempt);
        Buffer keptBack = attempt.takeKeptBack();
        if (keptBack.length() > 0) {
            streamData(attempt, keptBack);
        }
    }

    /**
     * Schedules the next attempt after input that has already arrived: the close of the caller's
     * connection may be queued behind the current event.
     */
    private void scheduleNextAttempt() {
        Runnable place = () -> guarded("placing", this::startNext);
        context.vertx().runOnContext(ignored -> context.gate().execute(place));
    }

    private void startNext() {
        if (done || callerDisconnected || attempts.current() != null) {
            return;
        }
        long now = now();
        if (plan.deadlineMillis() - now < MIN_ATTEMPT_MILLIS) {
            giveUp(Refusal.NO_TIME, 0);
            return;
        }
        Optional<Refusal> withheld = context.prompts().check(plan, "place");
        if (withheld.isPresent()) {
            giveUp(withheld.get().reason(), withheld.get().retryAfterMillis());
            return;
        }
        place(search.choose(now), now);
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

    private void sendLocal(Placement.Local local, long now) {
        RunningAttempt attempt = starter.createAtReplica(this, local, now);
        attempts.begin(attempt);
        search.tried(attempt.target());
        history.recordSend();
        log.placed(local, history.sent(), now);
        starter.sendToReplica(local, delivery.resumeAfter(plan), attempt);
        startMonitor();
    }

    private void sendRelay(Placement.Relay relay, long now) {
        MemberInfo vm = starter.chooseVm(relay, history.sent(), now);
        RunningAttempt attempt =
                RunningAttempt.atVm(this, context.memory(), vm.vm(), relay.region());
        attempts.begin(attempt);
        history.recordSend();
        log.relayed(vm, relay, history.sent(), now);
        starter.sendToVm(vm, delivery.resumeAfter(plan), attempt);
    }

    private void reject(RunningAttempt attempt, ResponseEnvelope head) {
        attempt.cancel();
        String cause =
                head.misdirected()
                        ? "address belongs to another replica"
                        : "status " + head.status();
        if (head.misdirected()) {
            outcomes.unreachable(attempt);
        }
        // Another replica may have capacity sooner than this one.
        boolean relayed = attempt.use().isEmpty();
        long wait = relayed ? head.retryAfterMillis().orElse(0) : 0;
        attemptEnded(attempt, AttemptOutcome.REJECTED, cause, wait);
    }

    /** Abandons a response that cannot be passed on; the request has run. */
    private void abandon(RunningAttempt attempt, String cause) {
        attempt.cancel();
        failed(attempt, AttemptOutcome.GARBLED, cause, 0);
    }

    /** Retries the request if possible; otherwise the failure goes to the caller. */
    private boolean retryAfterFailure(RunningAttempt attempt, ResponseEnvelope head) {
        if (delivery.begun() || callerDisconnected) {
            return false;
        }
        history.recordOutcome(AttemptOutcome.FAILED);
        long now = now();
        if (!RetryPolicy.mayRetry(plan.route(), history, AttemptOutcome.FAILED) || plan.relayed()) {
            return false;
        }
        Placement placement = search.choose(now);
        if (placement instanceof Placement.Refuse || !RetryGate.tryAcquire(context, plan)) {
            return false;
        }
        attempt.cancel();
        outcomes.failedBeforeRetry(attempt);
        log.attemptEnded(attempt, AttemptOutcome.FAILED, "status " + head.status(), "again", now);
        attempt.release();
        place(placement, now);
        return true;
    }

    private void attemptEnded(
            RunningAttempt attempt, AttemptOutcome outcome, String cause, long retryAfterMillis) {
        if (done) {
            return;
        }
        attempts.endCurrent();
        outcomes.ended(attempt, outcome, cause);
        if (outcome == AttemptOutcome.NOT_SENT && attempt.use().isEmpty()) {
            context.fleet().markUnreachable(attempt.target(), now());
        }
        search.ended(attempt, outcome, now());
        attempt.release();
        history.recordOutcome(outcome);
        boolean again =
                !callerDisconnected
                        && delivery.resumable()
                        && RetryPolicy.mayRetry(plan.route(), history, outcome)
                        && (!history.mayHaveRun() || !plan.relayed())
                        && (!outcome.mayHaveReached() || RetryGate.tryAcquire(context, plan));
        log.attemptEnded(attempt, outcome, cause, again ? "again" : "over", now());
        if (again) {
            delivery.restartEvent();
            scheduleNextAttempt();
        } else {
            giveUp(Refusal.reason(outcome, cause), retryAfterMillis);
        }
    }

    /** Goes on with the silent attempt if there is one; otherwise the request ends. */
    private void giveUp(String reason, long retryAfterMillis) {
        if (attempts.hasSilent()) {
            reinstateSilent();
        } else {
            endWithoutAnswer(reason, retryAfterMillis);
        }
    }

    private void endWithoutAnswer(String reason, long retryAfterMillis) {
        if (delivery.begun()) {
            sink.abort();
            context.log().record(EventCode.REQUEST_FAILED, id(), 0, reason, elapsed());
            finish("broken_off");
            return;
        }
        boolean expired = plan.deadlineMillis() - now() < MIN_ATTEMPT_MILLIS;
        boolean known = retryAfterMillis > 0 || history.mayHaveRun();
        long wait = known ? retryAfterMillis : search.retryAfterMillis(now());
        Refusal refusal = Refusal.after(history, expired, reason, wait);
        sink.refuse(refusal);
        log.refused(refusal, now());
        finish(refusal.notRun() ? "refused" : "failed");
    }

    private void startMonitor() {
        progressCheck.cancel();
        RunningAttempt current = attempts.current();
        if (plan.route().mayRunAgain() && current.use().isPresent()) {
            progressCheck.start(current.firstCheckMillis());
        }
    }

    /**
     * Replaces the attempt if its replica makes too little progress. For a relayed request, the
     * relaying VM is told and may replace it.
     */
    private void checkReplica() {
        RunningAttempt attempt = attempts.current();
        if (done || attempt == null || attempt.use().isEmpty()) {
            return;
        }
        long now = now();
        Optional<Reason> reason = attempt.checkProgress(now);
        if (plan.relayed() && reason.isPresent() && !attempt.paused()) {
            sink.stalled();
        } else if (reason.isPresent() && acquireRepeat(now)) {
            outcomes.noProgress(attempt, reason.get());
            replace(attempt, reason.get());
            return;
        }
        progressCheck.start(MONITOR_INTERVAL_MILLIS);
    }

    private boolean acquireRepeat(long now) {
        return !attempts.hasSilent()
                && !attempts.current().paused()
                && attempts.current().sent()
                && delivery.resumable()
                && context.gate().receiveDelayMillis() == 0
                && !plan.relayed()
                && RetryPolicy.mayReplace(plan.route(), history)
                && search.finds(now)
                && RetryGate.tryAcquire(context, plan);
    }

    /**
     * Starts another attempt beside one that makes no progress. The first one to answer is kept:
     * the silent replica may be sound, and the other one may reject the request.
     */
    private void replace(RunningAttempt attempt, Reason reason) {
        history.recordOutcome(AttemptOutcome.LOST);
        outcomes.ended(attempt, AttemptOutcome.LOST, reason.text());
        log.attemptSilent(attempt, reason.text(), now());
        attempt.keepBack(delivery.partialEvent());
        delivery.restartEvent();
        attempts.setAsideCurrent();
        scheduleNextAttempt();
    }

    /** Makes the silent attempt the current one again, instead of the one beside it. */
    private void reinstateSilent() {
        attempts.reinstateSilent();
        delivery.restartEvent();
        startMonitor();
        deliverKeptBack(attempts.current());
    }

    private void terminate(String cause, String reason) {
        if (done) {
            return;
        }
        attempts.endSilent(AttemptOutcome.LOST, cause);
        if (attempts.current() != null) {
            history.recordOutcome(attempts.closeCurrent(cause));
        }
        endWithoutAnswer(reason, 0);
    }

    /** Runs one step; an unexpected error in it ends the request instead of leaving it open. */
    private void guarded(String step, Runnable work) {
        try {
            work.run();
        } catch (Throwable e) {
            endAfterError();
            context.errors().record(step + ", " + id(), e);
        }
    }

    /** Ends the attempt that met an error; it may have run if it was sent. */
    private void endAfterError() {
        try {
            if (attempts.current() == null && history.hasOpen()) {
                history.recordOutcome(AttemptOutcome.LOST);
            }
            if (attempts.hasSilent()) {
                reinstateSilent();
                return;
            }
            terminate("internal error", "internal_error");
        } catch (Throwable e) {
            try {
                sink.abort();
            } finally {
                finish("failed");
            }
            context.errors().record("refusing, " + id(), e);
        }
    }

    private void finish(String outcome) {
        if (done) {
            return;
        }
        done = true;
        attempts.closeAll();
        deadline.cancel();
        progressCheck.cancel();
        context.metrics().recordRequest(plan.route().kind().name(), outcome, elapsed());
        onDone.run();
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
