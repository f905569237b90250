package io.vanillapoint.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.RunState;
import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.FleetTiming;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.fleet.VmRoster;
import io.vanillapoint.core.message.ForwardCredit;
import io.vanillapoint.core.message.ForwardData;
import io.vanillapoint.core.message.ForwardEnd;
import io.vanillapoint.core.message.ForwardFailure;
import io.vanillapoint.core.message.ForwardHead;
import io.vanillapoint.core.message.PeerMessage;
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
import io.vanillapoint.core.upstream.UpstreamPool;
import io.vanillapoint.entry.log.EntryMetrics;
import io.vanillapoint.entry.port.RequestEnvelope;
import io.vanillapoint.wire.PeerCodec;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
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

/** Requests for replicas whose rejections are limited, at a VM that owns none of their slots. */
class SlotOwnerRelayTest {
    private static final ZoneId ZONE = new ZoneId("z");
    private static final RegionId REGION = new RegionId("r");
    private static final ServiceSpec SERVICE = new ServiceSpec("s", 10, 0, 0, Optional.empty());
    private static final int REPLICAS = 2;

    private final Vertx vertx = Vertx.vertx();
    private final LongSupplier clock = () -> System.nanoTime() / 1_000_000;
    private final RecordingLog log = new RecordingLog();
    private final RecordingSink sink = new RecordingSink();
    private final AtomicInteger relayed = new AtomicInteger();

    @AfterEach
    void close() throws Exception {
        vertx.close().await(10, TimeUnit.SECONDS);
    }

    @Test
    void requestIsRelayedToTheOwner() throws Exception {
        byte[] body = "answer".getBytes();
        int port =
                listen(
                        new ForwardCredit(0, 0),
                        new ForwardHead(0, 200, List.of()),
                        new ForwardData(0, body),
                        new ForwardEnd(0, body.length));
        runToEnd(port);
        assertThat(sink.calls(), is("head 200 data end"));
        assertThat(log.codes(), hasItem(EventCode.RELAYED));
        assertThat(log.codes(), not(hasItem(EventCode.PLACED)));
    }

    @Test
    void requestThatTheOwnerHasNoRoomForIsRefusedAtOnce() throws Exception {
        String reason = "all_replicas_busy";
        int port =
                listen(
                        new ForwardCredit(0, 0),
                        new ForwardFailure(
                                0, ErrorCode.NO_UPSTREAM, reason, RunState.NOT_RUN, 400));
        runToEnd(port);
        assertThat(sink.calls(), is("refuse 503 all_replicas_busy not run"));
        assertThat(relayed.get(), is(1));
        assertThat(log.codes(), not(hasItem(EventCode.PLACED)));
    }

    /** Guards against 502 and 504 for a request that the other VM has not sent to a replica. */
    @Test
    void requestWhoseDeadlinePassedAtTheOwnerBeforeItWasSentIsRefusedAsNotRun() throws Exception {
        int port =
                listen(
                        new ForwardCredit(0, 0),
                        new ForwardFailure(
                                0, ErrorCode.NO_UPSTREAM, "timeout", RunState.NOT_RUN, 0));
        runToEnd(port);
        assertThat(sink.calls(), is("refuse 503 attempt_withheld not run"));
    }

    @Test
    void requestIsRefusedIfNoOwnerCanBeReached() throws Exception {
        // Port 1 of the loopback address has no listener.
        runToEnd(1);
        assertThat(sink.calls(), is("refuse 503 all_replicas_busy not run"));
        assertThat(log.codes(), not(hasItem(EventCode.PLACED)));
    }

    private int listen(PeerMessage... messages) throws Exception {
        Buffer frames = Buffer.buffer();
        PeerCodec codec = new PeerCodec(10_000);
        for (PeerMessage message : messages) {
            byte[] payload = codec.encode(message);
            frames.appendInt(payload.length).appendBytes(payload);
        }
        return vertx.createHttpServer()
                .requestHandler(
                        request -> {
                            relayed.incrementAndGet();
                            request.response().end(frames);
                        })
                .listen(0, "127.0.0.1")
                .await(10, TimeUnit.SECONDS)
                .actualPort();
    }

    private void runToEnd(int peerPort) throws Exception {
        Promise<Void> ended = Promise.promise();
        vertx.runOnContext(
                nothing ->
                        new RequestRun(context(peerPort), plan(), sink, ended::complete).start());
        ended.future().await(10, TimeUnit.SECONDS);
    }

    /** The owner has the larger capacity. */
    private EntryContext context(int peerPort) {
        MemberInfo self = vm("vm", MemberInfo.ONE_CORE);
        FleetView fleet = new FleetView(self, FleetTiming.DEFAULT, 1);
        long now = clock.getAsLong();
        VmRoster roster = new VmRoster(self, Set.of(ZONE), 1, FleetTiming.DEFAULT, now);
        FleetReport report = FleetReport.builder(vm("owner", 2 * MemberInfo.ONE_CORE), 1).build();
        fleet.receive(report, now);
        roster.observe(report, now);
        UpstreamPool pool = new UpstreamPool(Map.of(ZONE, REGION));
        for (int i = 0; i < REPLICAS; i++) {
            Endpoint endpoint = new Endpoint("127.0.0.1", 1);
            UpstreamReplica replica =
                    new UpstreamReplica(
                            "i-" + i, "s", endpoint, ZONE, 2, ReplicaState.READY, 0, 1, Set.of());
            pool.publish(replica, Optional.of(SERVICE), now);
        }
        pool.mergeRejectionLimits(Map.of("s", 3), now);
        SessionLocations sessions = new SessionLocations();
        EntryMetrics metrics = new EntryMetrics();
        return new EntryContext(
                vertx,
                clock,
                new EventLoopGate(vertx, () -> 0, new EventLoopLag(200, 0)),
                log,
                metrics,
                new StubRequestFormat(),
                fleet,
                roster,
                pool,
                new ReplicaChooser(pool, fleet, roster, PlacementWeights.DEFAULT, sessions),
                sessions,
                new RetryAllowance(new RetryBounds(0.2, 50, 10_000), now),
                new PromptGuard(vertx, clock, log, metrics, 1, parts -> false, () -> {}),
                new ResponseMemoryBudget(),
                vertx.createHttpClient(),
                vertx.createHttpClient(),
                peerPort,
                () -> 1);
    }

    private static MemberInfo vm(String name, int capacity) {
        return new MemberInfo(name, "127.0.0.1", REGION, ZONE, capacity, 1, MemberState.READY);
    }

    private RequestPlan plan() {
        RouteSpec route =
                new RouteSpec(
                        "r",
                        "h",
                        "/",
                        RouteKind.IDEMPOTENT,
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
                        OptionalLong.of(4_000),
                        Optional.empty(),
                        OptionalLong.empty(),
                        OptionalLong.empty(),
                        List.of());
        long now = clock.getAsLong();
        return new RequestPlan(
                envelope,
                "POST",
                "/a",
                Buffer.buffer(),
                route,
                SERVICE,
                Optional.empty(),
                now,
                now + 4_000,
                false);
    }
}
