package io.vanillapoint.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

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
import io.vanillapoint.core.upstream.UpstreamPool;
import io.vanillapoint.entry.log.EntryMetrics;
import io.vanillapoint.entry.port.RequestEnvelope;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A replica whose first connection accepts a request and then never sends a byte again. */
class SilentReplicaTest {
    private static final ZoneId ZONE = new ZoneId("z");
    private static final RegionId REGION = new RegionId("r");
    private static final ServiceSpec SERVICE = new ServiceSpec("s", 10, 0, 0, Optional.empty());
    private static final long DEADLINE_MILLIS = 4_000;

    /** Silence is found after 440 ms; the rest allows for a busy machine. */
    private static final long BOUND_MILLIS = 2_000;

    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: b\n\n";

    private final Vertx vertx = Vertx.vertx();
    private final LongSupplier clock = () -> System.nanoTime() / 1_000_000;
    private final RetryAllowance retries =
            new RetryAllowance(new RetryBounds(0.2, 50, 10_000), clock.getAsLong());
    private final RecordingLog log = new RecordingLog();
    private final RecordingSink sink = new RecordingSink();
    private final UpstreamPool pool = new UpstreamPool(Map.of(ZONE, REGION));

    @AfterEach
    void close() throws Exception {
        vertx.close().await(10, TimeUnit.SECONDS);
    }

    /** Guards against silence that shows only at the deadline of the request. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anotherReplicaAnswersBeforeTheDeadline(boolean afterAnEvent) throws Exception {
        AtomicInteger connections = new AtomicInteger();
        publish("i-1", connections, afterAnEvent);
        publish("i-2", connections, afterAnEvent);
        for (int i = 0; i < 30; i++) {
            retries.recordRequest("s", clock.getAsLong());
        }
        Promise<Void> ended = Promise.promise();
        long start = clock.getAsLong();
        vertx.runOnContext(
                ignored -> new RequestRun(context(), plan(), sink, ended::complete).start());
        ended.future().await(10, TimeUnit.SECONDS);
        assertThat(clock.getAsLong() - start, is(lessThan(BOUND_MILLIS)));
        assertThat(sink.calls(), is("head 200 data data end"));
        assertThat(connections.get(), is(2));
    }

    /** Publishes a replica; the first connection of all replicas falls silent. */
    private void publish(String id, AtomicInteger connections, boolean afterAnEvent)
            throws Exception {
        int port =
                vertx.createHttpServer()
                        .requestHandler(
                                request -> {
                                    boolean silent = connections.getAndIncrement() == 0;
                                    request.response().setChunked(true);
                                    if (silent && afterAnEvent) {
                                        request.response().write(FIRST_EVENT);
                                    } else if (!silent && afterAnEvent) {
                                        request.response().end(SECOND_EVENT);
                                    } else if (!silent) {
                                        request.response().write(FIRST_EVENT);
                                        vertx.setTimer(
                                                50,
                                                ignored -> request.response().end(SECOND_EVENT));
                                    }
                                })
                        .listen(0, "127.0.0.1")
                        .await(10, TimeUnit.SECONDS)
                        .actualPort();
        UpstreamReplica replica =
                new UpstreamReplica(
                        id,
                        "s",
                        new Endpoint("127.0.0.1", port),
                        ZONE,
                        6,
                        ReplicaState.READY,
                        0,
                        1,
                        Set.of());
        pool.publish(replica, Optional.of(SERVICE), 0);
    }

    private EntryContext context() {
        MemberInfo self =
                new MemberInfo(
                        "vm", "127.0.0.1", REGION, ZONE, MemberInfo.ONE_CORE, 1, MemberState.READY);
        FleetView fleet = new FleetView(self, FleetTiming.DEFAULT, 1);
        VmRoster roster = new VmRoster(self, Set.of(ZONE), 1, FleetTiming.DEFAULT, 0);
        SessionLocations sessions = new SessionLocations();
        return new EntryContext(
                vertx,
                clock,
                new EventLoopGate(vertx, () -> 0, new EventLoopLag(200, 0)),
                log,
                new EntryMetrics(),
                new StubRequestFormat(),
                fleet,
                roster,
                pool,
                new ReplicaChooser(pool, fleet, roster, PlacementWeights.DEFAULT, sessions),
                sessions,
                retries,
                new PromptGuard(vertx, clock, log, new EntryMetrics(), 1, parts -> false, () -> {}),
                new ResponseMemoryBudget(),
                vertx.createHttpClient(),
                vertx.createHttpClient(),
                17_600,
                () -> 1);
    }

    private RequestPlan plan() {
        RouteSpec route =
                new RouteSpec(
                        "r",
                        "h",
                        "/",
                        RouteKind.EVENT_STREAM,
                        (int) DEADLINE_MILLIS,
                        800,
                        0,
                        1,
                        List.of(new ServiceShare("s", 1)),
                        2,
                        true,
                        false,
                        true,
                        Set.of());
        RequestEnvelope envelope =
                new RequestEnvelope(
                        "id-1",
                        "h",
                        Optional.empty(),
                        OptionalLong.of(DEADLINE_MILLIS),
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
                now + DEADLINE_MILLIS,
                false);
    }
}
