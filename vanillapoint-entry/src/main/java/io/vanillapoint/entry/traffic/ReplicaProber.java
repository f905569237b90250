package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.finding.FindingCode;
import io.vanillapoint.api.finding.Findings;
import io.vanillapoint.api.finding.Place;
import io.vanillapoint.core.upstream.ProbePlan;
import io.vanillapoint.core.upstream.ReplicaTracker;
import io.vanillapoint.core.upstream.RestartEvidence;
import io.vanillapoint.entry.port.ReplicaStatus;
import io.vanillapoint.entry.port.ReplicaStatusFormat;
import io.vanillapoint.http.BoundedBody;
import io.vertx.core.AsyncResult;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.Locale;

/**
 * Probes replicas that failed with their status call, so that no caller's request has to.
 *
 * <p>Invariants: each started probe ends within its time limits, and its end is recorded once. Each
 * probe has a connection of its own, which is closed after it. Confined to one event loop.
 */
public final class ReplicaProber {
    /** Connecting within a region takes about a millisecond; this allows for one late packet. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    /** A replica answers a status call without a slot, so in a few milliseconds. */
    private static final long ANSWER_TIMEOUT_MILLIS = 400;

    /** A status lists the requests that the replica runs, each with less than a hundred bytes. */
    private static final long MAX_BODY_BYTES = 16L * 1_024;

    /** Interval of looking for due probes while any replica is failing. */
    private static final long CHECK_MILLIS = 50;

    private final EntryContext context;
    private final ReplicaStatusFormat format;
    private final ProbePlan plan;
    private boolean checkScheduled;

    /**
     * Creates a prober.
     *
     * @param context shared services
     * @param format format of the status call
     * @param plan decides what to probe
     */
    public ReplicaProber(EntryContext context, ReplicaStatusFormat format, ProbePlan plan) {
        this.context = context;
        this.format = format;
        this.plan = plan;
    }

    /** Sends the probes that are due, and looks again soon as long as any is needed. */
    public void check() {
        plan.start(now()).forEach(replica -> guarded(replica, () -> connect(replica)));
        if (!checkScheduled && plan.wanted(now())) {
            checkScheduled = true;
            context.vertx()
                    .setTimer(
                            CHECK_MILLIS,
                            ignored -> {
                                checkScheduled = false;
                                check();
                            });
        }
    }

    private void connect(ReplicaTracker replica) {
        context.metrics().count("replica_probes_sent");
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost(replica.info().endpoint().host())
                        .setPort(replica.info().endpoint().port())
                        .setURI(format.path())
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        context.upstreamClient()
                .request(options)
                .onSuccess(request -> guarded(replica, () -> send(replica, request)))
                .onFailure(unreachable -> recordUnreachable(replica));
    }

    /**
     * Runs a step of a probe. One that meets an unexpected error ends it, so that others follow.
     */
    private void guarded(ReplicaTracker replica, Runnable step) {
        try {
            step.run();
        } catch (Throwable e) {
            context.errors().record("probing " + replica.info().id(), e);
            recordUnanswered(replica);
        }
    }

    private void send(ReplicaTracker replica, HttpClientRequest request) {
        format.writeCall(replica.info().id(), request.headers());
        // The response future fails with the same error; a reset is initiated by this VM.
        request.exceptionHandler(error -> {});
        // While the loop is behind, an answer may have arrived but not been read.
        long timer =
                context.vertx()
                        .setTimer(
                                ANSWER_TIMEOUT_MILLIS,
                                ignored -> context.gate().execute(request::reset));
        request.send()
                .onComplete(
                        answered -> {
                            if (answered.failed()) {
                                context.vertx().cancelTimer(timer);
                                recordUnanswered(replica);
                            } else {
                                guarded(
                                        replica,
                                        () -> readAnswer(replica, answered.result(), timer));
                            }
                        });
    }

    private void readAnswer(ReplicaTracker replica, HttpClientResponse response, long timer) {
        String id = replica.info().id();
        Findings findings = new Findings();
        BoundedBody.read(response, MAX_BODY_BYTES)
                .onComplete(
                        body -> {
                            context.vertx().cancelTimer(timer);
                            guarded(
                                    replica,
                                    () ->
                                            recordAnswer(
                                                    replica,
                                                    status(id, response, body, findings),
                                                    findings));
                        });
    }

    private ReplicaStatus status(
            String id, HttpClientResponse response, AsyncResult<Buffer> body, Findings findings) {
        if (body.succeeded()) {
            return format.parse(id, response.statusCode(), body.result(), findings);
        }
        findings.add(Place.of(id), FindingCode.SYNTAX, String.valueOf(body.cause().getMessage()));
        return ReplicaStatus.REACHABLE;
    }

    private void recordAnswer(ReplicaTracker replica, ReplicaStatus status, Findings findings) {
        String id = replica.info().id();
        if (!findings.isEmpty()) {
            context.log().record(EventCode.REPLICA_STATUS_UNUSABLE, id, findings);
            context.metrics().count("replica_statuses_unusable");
        }
        if (status.misdirected()) {
            recordUnreachable(replica);
            return;
        }
        context.metrics().count("replica_probes_answered");
        long now = now();
        long failingMillis = replica.failingMillis(now);
        RestartEvidence evidence = replica.probeAnswered(status.startedAtMillis(), now);
        if (!replica.failing()) {
            String start = evidence.name().toLowerCase(Locale.ROOT);
            context.log().record(EventCode.REPLICA_BACK, id, start, failingMillis);
            context.metrics().count("replicas_back");
        }
    }

    private void recordUnreachable(ReplicaTracker replica) {
        context.metrics().count("replica_probes_failed");
        replica.probeUnreachable(now());
    }

    private void recordUnanswered(ReplicaTracker replica) {
        context.metrics().count("replica_probes_failed");
        replica.probeUnanswered(now());
    }

    private long now() {
        return context.clock().getAsLong();
    }
}
