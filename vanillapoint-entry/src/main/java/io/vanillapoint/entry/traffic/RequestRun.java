package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.attempt.AttemptHistory;
import io.vanillapoint.core.attempt.AttemptMonitor;
import io.vanillapoint.core.attempt.AttemptMonitor.Reason;
import io.vanillapoint.core.attempt.AttemptOutcome;
import io.vanillapoint.core.attempt.RetryPolicy;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.TrafficVmSelector;
import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.UpstreamReplica;
import io.vanillapoint.core.quarantine.AttemptStage;
import io.vanillapoint.core.upstream.Placement;
import io.vanillapoint.core.upstream.PlacementQuery;
import io.vanillapoint.core.upstream.ReplicaTracker;
import io.vanillapoint.entry.port.ResponseEnvelope;
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
    private static final long MIN_ATTEMPT_MILLIS = 15;

    /** Interval between two checks of a replica's progress. */
    private static final long MONITOR_INTERVAL_MILLIS = 150;

    private static final long RETRY_AFTER_MILLIS = 300;
    private static final int FIRST_SERVER_ERROR = 500;

    private final EntryContext context;
    private final RequestPlan plan;
    private final ResponseSink sink;
    private final Runnable onDone;
    private final AttemptStarter starter;
    private final RequestLog log;
    private final AttemptHistory history = new AttemptHistory();
    private final Set<String> triedReplicas = new HashSet<>();
    private final Set<RegionId> fullRegions = new HashSet<>();
    private final AttemptProgress progress = new AttemptProgress();
    private final EventStreamReader events = new EventStreamReader(this::writeEvents);
    private Attempt attempt;
    private ReplicaUse use;
    private AttemptMonitor monitor;
    private ReplicaTracker previousFailedReplica;
    private String target = "";
    private RegionId targetRegion;
    private ResponseEnvelope response;
    private Buffer bufferedBody;
    private long bytesSent;
    private long firstDataAtMillis = -1;
    private boolean headSent;
    private boolean responding;
    private boolean done;
    private boolean callerDisconnected;
    private long deadlineTimer = -1;
    private long monitorTimer = -1;

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
        starter = new AttemptStarter(context, plan, this);
        log = new RequestLog(context.log(), plan);
    }

    /** Starts the first attempt. */
    public void start() {
        long remaining = Math.max(1, plan.deadlineMillis() - now());
        deadlineTimer = context.vertx().setTimer(remaining, ignored -> onDeadline());
        if (!plan.relayed()) {
            context.retries().recordRequest(plan.service().name(), now());
        }
        scheduleNextAttempt();
    }

    /** Called when the caller has closed its connection. */
    public void callerDisconnected() {
        if (done || callerDisconnected) {
            return;
        }
        callerDisconnected = true;
        boolean keepRunning = plan.route().kind() == RouteKind.AT_MOST_ONCE && attempt != null;
        context.log().record(EventCode.CALLER_LEFT, id(), elapsed(), !keepRunning);
        context.metrics().count("caller_left");
        if (!keepRunning) {
            finish("left");
        }
    }

    /** Ends the request with an error because the process is about to stop. */
    public void abortForShutdown() {
        terminate("process is stopping", "shutting_down");
    }

    /** Ends an attempt that has not begun to respond if its prompt is withheld by now. */
    public void recheckPrompt() {
        boolean waiting = use != null && progress.stage(now()) == AttemptStage.WAITING;
        if (!done && attempt != null && waiting && context.prompts().withholds(plan)) {
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
    public void head(ResponseEnvelope head) {
        recordResponse();
        progress.headReceived(now());
        if (use != null) {
            use.readHead(head);
            monitor.headReceived(now());
        }
        if (head.notExecuted() || head.misdirected()) {
            reject(head);
            return;
        }
        boolean failure = head.status() >= FIRST_SERVER_ERROR;
        if (failure && retryAfterFailure(head)) {
            return;
        }
        recordOutcome(failure);
        if (!head.success() && headSent) {
            attempt.cancel();
            attemptEnded(AttemptOutcome.FAILED, "status " + head.status(), 0);
            return;
        }
        response = head;
        boolean stream = head.success() && plan.route().kind() == RouteKind.EVENT_STREAM;
        bufferedBody = stream ? null : Buffer.buffer();
        if (stream && !headSent) {
            headSent = true;
            sink.head(head.status(), head.headers(), OptionalLong.empty());
        }
    }

    @Override
    public void data(Buffer data) {
        recordResponse();
        if (bufferedBody != null) {
            progress.received(1);
            if (context.memory().tryReserve(bufferedBody.length(), data.length())) {
                bufferedBody.appendBuffer(data);
            } else {
                abandonTooLarge("answer");
            }
            return;
        }
        if (firstDataAtMillis < 0) {
            firstDataAtMillis = now();
        }
        if (use != null) {
            use.recordFirstEvent();
        }
        long previousCount = events.eventCount();
        if (!events.read(data)) {
            abandonTooLarge("event");
            return;
        }
        progress.received(events.eventCount() - previousCount);
        if (use != null) {
            monitor.bytesReceived(events.eventCount() > previousCount, now());
            reportIfResponding();
        }
        if (sink.isFull() && attempt != null) {
            attempt.pause();
            sink.onDrain(this::resume);
        }
    }

    @Override
    public void end(boolean framed) {
        if (bufferedBody == null && !framed && brokeOff()) {
            failed(AttemptOutcome.LOST, "stream ended inside an event or without any", 0);
            return;
        }
        if (use != null && response.success() && progress.pieces() > 0) {
            context.prompts().responded(plan);
        }
        attempt = null;
        if (response.claimsNotRun()) {
            history.recordOutcome(AttemptOutcome.FAILED);
            endWithoutAnswer("replica_status_" + response.status(), 0);
            return;
        }
        if (bufferedBody == null) {
            writeEvents(events.partialEvent());
            sink.end();
        } else {
            sendBuffered();
        }
        log.answered(response.status(), bytesSent, firstDataAtMillis, now());
        finish(response.success() ? "answered" : "replica_failed");
    }

    @Override
    public void failed(AttemptOutcome outcome, String cause, long retryAfterMillis) {
        if (outcome == AttemptOutcome.LOST && use != null) {
            context.prompts().attemptBroken(plan, use.tracker(), progress.stage(now()));
        }
        attemptEnded(outcome, cause, retryAfterMillis);
    }

    /**
     * Schedules the next attempt after input that has already arrived: the close of the caller's
     * connection may be queued behind the current event.
     */
    private void scheduleNextAttempt() {
        context.vertx().runOnContext(ignored -> context.gate().execute(this::startNextUnlessEnded));
    }

    private void startNextUnlessEnded() {
        if (!done && !callerDisconnected) {
            startNext();
        }
    }

    private void startNext() {
        long now = now();
        if (plan.deadlineMillis() - now < MIN_ATTEMPT_MILLIS) {
            endWithoutAnswer("no_time", 0);
            return;
        }
        Optional<Refusal> withheld = context.prompts().check(plan, "place");
        if (withheld.isPresent()) {
            endWithoutAnswer(withheld.get().reason(), withheld.get().retryAfterMillis());
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
            endWithoutAnswer(refuse.reason().text(), refuse.retryAfterMillis());
        }
    }

    private PlacementQuery query(long now) {
        return new PlacementQuery(
                plan.route(),
                plan.service(),
                plan.envelope().prompt(),
                plan.body().length(),
                region -> plan.allowedIn(region) && !fullRegions.contains(region),
                triedReplicas,
                !plan.relayed(),
                now - plan.receivedAtMillis(),
                plan.deadlineMillis() - now);
    }

    private void sendLocal(Placement.Local local, long now) {
        UpstreamReplica replica = local.replica().info();
        use = new ReplicaUse(context, plan, local.replica(), local.uncachedTokens(), now);
        target = replica.id();
        triedReplicas.add(replica.id());
        history.recordSend();
        log.placed(local, history.sent(), now);
        monitor = new AttemptMonitor(plan.route(), plan.relayed(), now);
        starter.sendToReplica(local, resumeAfter(), started -> attempt = started);
        startMonitor();
    }

    private void sendRelay(Placement.Relay relay, long now) {
        List<MemberInfo> vms =
                TrafficVmSelector.sample(
                        context.fleet().reach().relayVms(relay.region(), relay.replicas(), now),
                        ThreadLocalRandom.current()::nextDouble);
        MemberInfo vm = vms.get(Math.floorMod(id().hashCode() + history.sent(), vms.size()));
        use = null;
        target = vm.vm();
        targetRegion = relay.region();
        history.recordSend();
        log.relayed(vm, relay, history.sent(), now);
        starter.sendToVm(vm, resumeAfter(), started -> attempt = started);
    }

    private OptionalLong resumeAfter() {
        return events.lastId().isPresent() ? events.lastId() : plan.envelope().lastEventId();
    }

    private void recordResponse() {
        if (use != null) {
            use.tracker().recordReceived(now());
        }
    }

    private void reject(ResponseEnvelope head) {
        attempt.cancel();
        String cause =
                head.misdirected()
                        ? "address belongs to another replica"
                        : "status " + head.status();
        if (head.misdirected() && use != null) {
            use.tracker().unreachable(now());
        }
        // Another replica may have capacity sooner than this one.
        long wait = use == null ? head.retryAfterMillis().orElse(0) : 0;
        attemptEnded(AttemptOutcome.REJECTED, cause, wait);
    }

    /**
     * Records the outcome for the replica's health. Some requests fail on every replica, so the
     * failure of a request that may be retried counts against a replica only if another replica
     * succeeds with it.
     */
    private void recordOutcome(boolean failure) {
        if (!failure && previousFailedReplica != null) {
            previousFailedReplica.recordOutcome(true);
        }
        if (use != null && (!failure || !plan.route().mayRunAgain())) {
            use.tracker().recordOutcome(failure);
        }
    }

    /** Abandons a response that exceeds a size limit; the request has run. */
    private void abandonTooLarge(String what) {
        attempt.cancel();
        if (use != null) {
            use.tracker().recordOutcome(true);
        }
        attemptEnded(AttemptOutcome.GARBLED, what + " exceeds the size limit", 0);
    }

    /** Retries the request if possible; otherwise the failure goes to the caller. */
    private boolean retryAfterFailure(ResponseEnvelope head) {
        if (headSent || callerDisconnected) {
            return false;
        }
        history.recordOutcome(AttemptOutcome.FAILED);
        long now = now();
        if (!RetryPolicy.mayRetry(plan.route(), history, AttemptOutcome.FAILED)
                || limitedToOneReplica()) {
            return false;
        }
        Placement placement = context.chooser().choose(query(now), now);
        if (placement instanceof Placement.Refuse || !RetryGate.tryAcquire(context, plan)) {
            return false;
        }
        attempt.cancel();
        previousFailedReplica = use == null ? null : use.tracker();
        logAttemptEnd(AttemptOutcome.FAILED, "status " + head.status(), "again");
        release();
        place(placement, now);
        return true;
    }

    private void attemptEnded(AttemptOutcome outcome, String cause, long retryAfterMillis) {
        if (done) {
            return;
        }
        attempt = null;
        if (outcome.mayBeDown() && use != null && !answeredSinceSent()) {
            use.tracker().unreachable(now());
            context.log().record(EventCode.REPLICA_UNREACHABLE, target, cause);
        }
        if (outcome == AttemptOutcome.NOT_SENT && use == null) {
            context.fleet().markUnreachable(target, now());
        } else if (outcome == AttemptOutcome.NOT_PLACED) {
            fullRegions.add(targetRegion);
            context.chooser().relayNotPlaced(plan.service().name(), targetRegion, target, now());
        }
        release();
        history.recordOutcome(outcome);
        boolean again =
                !callerDisconnected
                        && RetryPolicy.mayRetry(plan.route(), history, outcome)
                        && (!history.mayHaveRun() || !limitedToOneReplica())
                        && (!outcome.mayHaveReached() || RetryGate.tryAcquire(context, plan));
        logAttemptEnd(outcome, cause, again ? "again" : "over");
        if (again) {
            events.restart();
            scheduleNextAttempt();
        } else {
            endWithoutAnswer(refusalReason(outcome), retryAfterMillis);
        }
    }

    /** A relayed request is tried on one replica only; retries are up to the relaying VM. */
    private boolean limitedToOneReplica() {
        return plan.relayed();
    }

    private boolean answeredSinceSent() {
        return use.tracker().lastReceivedMillis() >= use.sentAtMillis();
    }

    private void endWithoutAnswer(String reason, long retryAfterMillis) {
        if (headSent) {
            sink.abort();
            context.log().record(EventCode.REQUEST_FAILED, id(), 0, reason, elapsed());
            finish("broken_off");
            return;
        }
        boolean expired = plan.deadlineMillis() - now() < MIN_ATTEMPT_MILLIS;
        if (history.mayHaveRun()) {
            Refusal refusal = expired ? Refusal.timedOut() : Refusal.failed(reason);
            sink.refuse(refusal);
            context.log()
                    .record(EventCode.REQUEST_FAILED, id(), refusal.status(), reason, elapsed());
            finish("failed");
            return;
        }
        long backoffMillis = context.chooser().backoffMillis(query(now()), now());
        long wait =
                retryAfterMillis > 0
                        ? retryAfterMillis
                        : Math.max(RETRY_AFTER_MILLIS, backoffMillis);
        boolean reached = history.sent() > 0;
        sink.refuse(reached ? Refusal.rejected(reason, wait) : Refusal.notRun(reason, wait));
        context.log().record(EventCode.REFUSED, id(), Refusal.UNAVAILABLE, reason, wait, elapsed());
        finish("refused");
    }

    private void sendBuffered() {
        headSent = true;
        bytesSent = bufferedBody.length();
        sink.head(response.status(), response.headers(), OptionalLong.of(bufferedBody.length()));
        if (bufferedBody.length() > 0) {
            sink.write(bufferedBody);
        }
        sink.end();
    }

    /** Tells whether a stream that ended with its connection is incomplete. */
    private boolean brokeOff() {
        boolean empty = progress.pieces() == 0 && events.lastId().isEmpty();
        return empty || events.partialEvent().length() > 0;
    }

    private void reportIfResponding() {
        if (!responding && progress.stage(now()) == AttemptStage.RESPONDING) {
            responding = true;
            context.prompts().responded(plan);
        }
    }

    private void writeEvents(Buffer completeEvents) {
        if (completeEvents.length() > 0) {
            bytesSent += completeEvents.length();
            sink.write(completeEvents);
        }
    }

    private void resume() {
        if (attempt != null) {
            attempt.resume();
        }
    }

    private void startMonitor() {
        if (!plan.route().mayRunAgain()) {
            return;
        }
        cancelTimer(monitorTimer);
        monitorTimer =
                context.vertx().setTimer(monitor.firstCheckMillis(), ignored -> checkReplica());
    }

    /**
     * Abandons the attempt if the replica makes too little progress and a retry is possible. For a
     * relayed request it is abandoned in any case, and the relaying VM decides on a retry.
     */
    private void checkReplica() {
        monitorTimer = -1;
        if (done || attempt == null || use == null) {
            return;
        }
        long now = now();
        Optional<Reason> reason = monitor.checkAbandon(use.lastResponseAtMillis(), now);
        if (reason.isPresent() && (plan.relayed() || mayRetryElsewhere(now))) {
            attempt.cancel();
            if (reason.get() == Reason.STALLED) {
                use.tracker().recordOutcome(true);
            }
            attemptEnded(AttemptOutcome.LOST, reason.get().text(), 0);
            return;
        }
        monitorTimer = context.vertx().setTimer(MONITOR_INTERVAL_MILLIS, ignored -> checkReplica());
    }

    private boolean mayRetryElsewhere(long now) {
        return history.sent() < plan.route().attempts()
                && context.retries().available(plan.service().name(), now) >= 1
                && !(context.chooser().choose(query(now), now) instanceof Placement.Refuse);
    }

    private void onDeadline() {
        deadlineTimer = -1;
        terminate("deadline", "timeout");
    }

    private void terminate(String cause, String reason) {
        if (done) {
            return;
        }
        if (attempt != null) {
            attempt.cancel();
            history.recordOutcome(AttemptOutcome.LOST);
            logAttemptEnd(AttemptOutcome.LOST, cause, "over");
            attempt = null;
        }
        endWithoutAnswer(reason, 0);
    }

    private void logAttemptEnd(AttemptOutcome outcome, String cause, String next) {
        log.attemptEnded(target, outcome, cause, next, progress, now());
        progress.restart();
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
        cancelTimer(monitorTimer);
        context.metrics().recordRequest(plan.route().kind().name(), outcome, elapsed());
        onDone.run();
    }

    private void cancelTimer(long timer) {
        if (timer >= 0) {
            context.vertx().cancelTimer(timer);
        }
    }

    private void release() {
        if (bufferedBody != null) {
            context.memory().release(bufferedBody.length());
            bufferedBody = null;
        }
        if (use != null) {
            use.release();
            use = null;
        }
    }

    private static String refusalReason(AttemptOutcome outcome) {
        return "attempt_" + outcome.name().toLowerCase(Locale.ROOT);
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
