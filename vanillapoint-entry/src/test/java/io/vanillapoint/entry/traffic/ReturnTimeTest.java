package io.vanillapoint.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

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
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Return times of requests that no replica can respond to in time. Guards against callers that are
 * all told the same time, and against times that callers do not wait for.
 */
class ReturnTimeTest {
    private static final ZoneId ZONE = new ZoneId("z");
    private static final RegionId REGION = new RegionId("r");
    private static final ServiceSpec SERVICE = new ServiceSpec("s", 10, 0, 0, Optional.empty());

    /** Less than any replica needs. */
    private static final int TARGET_MILLIS = 5;

    private static final long LONGEST_MILLIS = 4_000 / 3;
    private static final int REQUESTS = 100;

    private final Vertx vertx = Vertx.vertx();
    private final LongSupplier clock = () -> 1_000;
    private final RecordingLog log = new RecordingLog();
    private final UpstreamPool pool = new UpstreamPool(Map.of(ZONE, REGION));

    @AfterEach
    void close() throws Exception {
        vertx.close().await(10, TimeUnit.SECONDS);
    }

    @Test
    void callersAreToldTimesOneBehindTheOtherUpToAThirdOfTheirTime() throws Exception {
        pool.loadAwareness().slowdownReported(clock.getAsLong());
        List<Long> times = returnTimes();
        assertThat(times, is(times.stream().sorted().toList()));
        assertThat(times.get(0), is(lessThanOrEqualTo(100L)));
        assertThat(times.get(1) > times.get(0), is(true));
        assertThat(times.get(REQUESTS - 1), is(LONGEST_MILLIS));
    }

    @Test
    void deploymentWithoutLoadAwarenessIsToldAConstant() throws Exception {
        assertThat(returnTimes().stream().distinct().toList(), is(List.of(400L)));
    }

    private List<Long> returnTimes() throws Exception {
        EntryContext context = context(pool);
        List<Long> times = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            RecordingSink sink = new RecordingSink();
            Promise<Void> ended = Promise.promise();
            vertx.runOnContext(
                    nothing -> new RequestRun(context, plan(), sink, ended::complete).start());
            ended.future().await(10, TimeUnit.SECONDS);
            assertThat(sink.calls(), is("refuse 503 too_late not run"));
            times.add(sink.refusal().retryAfterMillis());
        }
        return times;
    }

    private EntryContext context(UpstreamPool pool) {
        MemberInfo self = vm("vm", MemberInfo.ONE_CORE);
        FleetView fleet = new FleetView(self, FleetTiming.DEFAULT, 1);
        long now = clock.getAsLong();
        VmRoster roster = new VmRoster(self, Set.of(ZONE), 1, FleetTiming.DEFAULT, now);
        for (int i = 0; i < 1; i++) {
            Endpoint endpoint = new Endpoint("127.0.0.1", 1);
            UpstreamReplica replica =
                    new UpstreamReplica(
                            "i-" + i, "s", endpoint, ZONE, 2, ReplicaState.READY, 0, 1, Set.of());
            pool.publish(replica, Optional.of(SERVICE), now);
        }
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
                17_600,
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
                        TARGET_MILLIS,
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
