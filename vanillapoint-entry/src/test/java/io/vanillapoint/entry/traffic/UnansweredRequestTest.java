package io.vanillapoint.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.FleetTiming;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.fleet.VmRoster;
import io.vanillapoint.core.prompt.SessionLocations;
import io.vanillapoint.core.published.ReplicaState;
import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceShare;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.published.UpstreamReplica;
import io.vanillapoint.core.retry.RetryAllowance;
import io.vanillapoint.core.retry.RetryBounds;
import io.vanillapoint.core.upstream.PlacementWeights;
import io.vanillapoint.core.upstream.ReplicaChooser;
import io.vanillapoint.core.upstream.ReplicaTracker;
import io.vanillapoint.core.upstream.UpstreamPool;
import io.vanillapoint.entry.log.EntryMetrics;
import io.vanillapoint.entry.port.RequestEnvelope;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Requests that may not be repeated, at a replica that sends nothing in response to them. */
class UnansweredRequestTest {
    private static final ZoneId ZONE = new ZoneId("z");
    private static final RegionId REGION = new RegionId("r");
    private static final ServiceSpec SERVICE = new ServiceSpec("s", 10, 0, 0, Optional.empty());

    /** No caller leaves. */
    private static final long NEVER = 0;

    private final Vertx vertx = Vertx.vertx();
    private final RecordingLog log = new RecordingLog();
    private final RecordingSink sink = new RecordingSink();
    private final AtomicInteger received = new AtomicInteger();
    private final UpstreamPool pool = new UpstreamPool(Map.of(ZONE, REGION));
    private LongSupplier clock = () -> System.nanoTime() / 1_000_000;
    private ReplicaTracker replica;

    @AfterEach
    void close() throws Exception {
        vertx.close().await(10, TimeUnit.SECONDS);
    }

    @Test
    void atMostOnceRequestThatHangsIsEvidenceButIsNotEnded() throws Exception {
        double[] rateBeforeTheResponse = new double[1];
        publish(
                request ->
                        vertx.setTimer(
                                2_000,
                                ignored -> {
                                    rateBeforeTheResponse[0] = replica.unansweredRate();
                                    request.response().end("late");
                                }));
        run(RouteKind.AT_MOST_ONCE, 4_000, NEVER);
        assertThat(sink.calls(), is("head 200 data end"));
        assertThat(log.codes(), hasItem(EventCode.REQUEST_UNANSWERED));
        assertThat(received.get(), is(1));
        assertThat(rateBeforeTheResponse[0], is(greaterThan(0.0)));
        assertThat("withdrawn by the response", replica.unansweredRate(), is(0.0));
    }

    @Test
    void callerThatLeavesForWantOfAnAnswerIsEvidence() throws Exception {
        publish(request -> {});
        run(RouteKind.EVENT_STREAM, 4_000, 700);
        assertThat(log.codes(), hasItem(EventCode.REQUEST_UNANSWERED));
        assertThat(replica.unansweredRate(), is(greaterThan(0.0)));
    }

    @Test
    void deadlineThatPassesWithoutAnAnswerIsEvidence() throws Exception {
        publish(request -> {});
        run(RouteKind.EVENT_STREAM, 700, NEVER);
        assertThat(log.codes(), hasItem(EventCode.REQUEST_UNANSWERED));
        assertThat(replica.unansweredRate(), is(greaterThan(0.0)));
    }

    @Test
    void callerThatLeavesAtOnceIsNoEvidence() throws Exception {
        clock = () -> 0;
        publish(request -> {});
        run(RouteKind.EVENT_STREAM, 4_000, 100);
        assertThat(log.codes(), hasItem(EventCode.CALLER_LEFT));
        assertThat(log.codes(), not(hasItem(EventCode.REQUEST_UNANSWERED)));
        assertThat(replica.unansweredRate(), is(0.0));
    }

    @Test
    void callerThatLeavesAStreamThatHasBegunIsNoEvidence() throws Exception {
        publish(request -> request.response().setChunked(true).write("id: 1\ndata: a\n\n"));
        run(RouteKind.EVENT_STREAM, 4_000, 1_500);
        assertThat(log.codes(), hasItem(EventCode.CALLER_LEFT));
        assertThat(log.codes(), not(hasItem(EventCode.REQUEST_UNANSWERED)));
        assertThat(replica.unansweredRate(), is(0.0));
    }

    /** The plain rule waits for another replica to succeed with a repeatable request. */
    @Test
    void failureOfARepeatableRequestIsEvidenceAtOnceIfPlacementIsLoadAware() throws Exception {
        pool.loadAwareness().slowdownReported(clock.getAsLong());
        publish(request -> request.response().setStatusCode(500).end());
        run(RouteKind.IDEMPOTENT, 2_000, NEVER);
        assertThat(replica.observedFailureRate(), is(1.0));
        assertThat("plain rule", replica.failureRate(), is(0.0));
    }

    @Test
    void truncatedResponseIsEvidenceIfPlacementIsLoadAware() throws Exception {
        pool.loadAwareness().slowdownReported(clock.getAsLong());
        publish(
                request -> {
                    request.response().setChunked(true).write("id: 1\ndata: a\n\n");
                    vertx.setTimer(100, ignored -> request.connection().close());
                });
        run(RouteKind.EVENT_STREAM, 2_000, NEVER);
        assertThat(replica.observedFailureRate(), is(greaterThan(0.0)));
    }

    @Test
    void failuresAreNoEvidenceWhilePlacementIsNotLoadAware() throws Exception {
        publish(request -> request.response().setStatusCode(500).end());
        run(RouteKind.AT_MOST_ONCE, 2_000, NEVER);
        assertThat(replica.observedFailureRate(), is(0.0));
        assertThat("plain rule", replica.failureRate(), is(greaterThan(0.0)));
    }

    private void publish(Handler<HttpServerRequest> handler) throws Exception {
        int port =
                vertx.createHttpServer()
                        .requestHandler(
                                request -> {
                                    received.incrementAndGet();
                                    handler.handle(request);
                                })
                        .listen(0, "127.0.0.1")
                        .await(10, TimeUnit.SECONDS)
                        .actualPort();
        UpstreamReplica info =
                new UpstreamReplica(
                        "i-1",
                        "s",
                        new Endpoint("127.0.0.1", port),
                        ZONE,
                        6,
                        ReplicaState.READY,
                        0,
                        1,
                        Set.of());
        replica = pool.publish(info, Optional.of(SERVICE), 0).orElseThrow();
    }

    /** Runs a request to its end; its caller leaves after a time. */
    private void run(RouteKind kind, long deadlineMillis, long leavesAfterMillis) throws Exception {
        Promise<Void> ended = Promise.promise();
        vertx.runOnContext(
                nothing -> {
                    RequestPlan plan = plan(kind, deadlineMillis);
                    RequestRun run = new RequestRun(context(), plan, sink, ended::complete);
                    run.start();
                    if (leavesAfterMillis != NEVER) {
                        vertx.setTimer(leavesAfterMillis, ignored -> run.callerDisconnected());
                    }
                });
        ended.future().await(10, TimeUnit.SECONDS);
    }

    private EntryContext context() {
        MemberInfo self =
                new MemberInfo(
                        "vm", "127.0.0.1", REGION, ZONE, MemberInfo.ONE_CORE, 1, MemberState.READY);
        FleetView fleet = new FleetView(self, FleetTiming.DEFAULT, 1);
        VmRoster roster = new VmRoster(self, Set.of(ZONE), 1, FleetTiming.DEFAULT, 0);
        SessionLocations sessions = new SessionLocations();
        EntryMetrics metrics = new EntryMetrics();
        return new EntryContext(
                vertx,
                this::now,
                new EventLoopGate(vertx, () -> 0, new EventLoopLag(200, 0)),
                log,
                metrics,
                new StubRequestFormat(),
                fleet,
                roster,
                pool,
                new ReplicaChooser(pool, fleet, roster, PlacementWeights.DEFAULT, sessions),
                sessions,
                new RetryAllowance(new RetryBounds(0.2, 50, 10_000), now()),
                new PromptGuard(vertx, this::now, log, metrics, 1, parts -> false, () -> {}),
                new ResponseMemoryBudget(),
                vertx.createHttpClient(),
                vertx.createHttpClient(),
                17_600,
                () -> 1);
    }

    private RequestPlan plan(RouteKind kind, long deadlineMillis) {
        RouteSpec route =
                new RouteSpec(
                        "r",
                        "h",
                        "/",
                        kind,
                        4_000,
                        800,
                        0,
                        1,
                        List.of(new ServiceShare("s", 1)),
                        2,
                        true,
                        false,
                        false,
                        Set.of());
        RequestEnvelope envelope =
                new RequestEnvelope(
                        "id-1",
                        "h",
                        Optional.empty(),
                        OptionalLong.of(deadlineMillis),
                        Optional.empty(),
                        OptionalLong.empty(),
                        OptionalLong.empty(),
                        List.of());
        return new RequestPlan(
                envelope,
                "POST",
                "/a",
                Buffer.buffer(),
                route,
                SERVICE,
                Optional.empty(),
                now(),
                now() + deadlineMillis,
                false);
    }

    private long now() {
        return clock.getAsLong();
    }
}
