package io.vanillapoint.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.finding.Findings;
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
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.published.UpstreamReplica;
import io.vanillapoint.core.retry.RetryAllowance;
import io.vanillapoint.core.retry.RetryBounds;
import io.vanillapoint.core.upstream.PlacementWeights;
import io.vanillapoint.core.upstream.ProbePlan;
import io.vanillapoint.core.upstream.ReplicaChooser;
import io.vanillapoint.core.upstream.ReplicaTracker;
import io.vanillapoint.core.upstream.UpstreamPool;
import io.vanillapoint.entry.log.EntryMetrics;
import io.vanillapoint.entry.port.ReplicaStatus;
import io.vanillapoint.entry.port.ReplicaStatusFormat;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Probes that meet an unexpected error. */
class ReplicaProberTest {
    private static final ZoneId ZONE = new ZoneId("z");
    private static final RegionId REGION = new RegionId("r");
    private static final ServiceSpec SERVICE = new ServiceSpec("s", 10, 0, 0, Optional.empty());
    private static final long WAIT_SECONDS = 10;

    private final Vertx vertx = Vertx.vertx();
    private final LongSupplier clock = () -> System.nanoTime() / 1_000_000;
    private final RecordingLog log = new RecordingLog();
    private final UpstreamPool pool = new UpstreamPool(Map.of(ZONE, REGION));
    private final FailingStatus format = new FailingStatus();

    @AfterEach
    void close() throws Exception {
        vertx.close().await(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @EnumSource
    void replicaIsUsedAgainAfterAProbeThatMetAnError(Step step) throws Exception {
        format.failing = step;
        int port =
                vertx.createHttpServer()
                        .requestHandler(request -> request.response().end("{}"))
                        .listen(0, "127.0.0.1")
                        .await(WAIT_SECONDS, TimeUnit.SECONDS)
                        .actualPort();
        ReplicaTracker replica = publish(port);
        CompletableFuture<Void> usable = new CompletableFuture<>();
        vertx.runOnContext(
                ignored -> {
                    ReplicaProber prober =
                            new ReplicaProber(
                                    context(), format, new ProbePlan(pool, 1, clock.getAsLong()));
                    replica.unreachable(clock.getAsLong());
                    vertx.setPeriodic(
                            50,
                            tick -> {
                                prober.check();
                                if (!replica.failing()) {
                                    usable.complete(null);
                                }
                            });
                });
        usable.get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(log.codes(), hasItem(EventCode.INTERNAL_ERROR));
    }

    private ReplicaTracker publish(int port) {
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
        return pool.publish(info, Optional.of(SERVICE), clock.getAsLong()).orElseThrow();
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
                clock,
                new EventLoopGate(vertx, clock, new EventLoopLag(200, 0)),
                log,
                metrics,
                new StubRequestFormat(),
                fleet,
                roster,
                pool,
                new ReplicaChooser(pool, fleet, roster, PlacementWeights.DEFAULT, sessions),
                sessions,
                new RetryAllowance(new RetryBounds(0.2, 50, 10_000), clock.getAsLong()),
                new PromptGuard(vertx, clock, log, metrics, 1, parts -> false, () -> {}),
                new ResponseMemoryBudget(),
                vertx.createHttpClient(),
                vertx.createHttpClient(),
                17_600,
                () -> 1);
    }

    /** Step of a probe. Immutable. */
    private enum Step {
        CONNECTING,
        SENDING,
        READING
    }

    /** A status format that fails once. Confined to one event loop. */
    private static final class FailingStatus implements ReplicaStatusFormat {
        private Step failing;

        @Override
        public String path() {
            failOnce(Step.CONNECTING);
            return "/";
        }

        @Override
        public void writeCall(String replica, MultiMap headers) {
            failOnce(Step.SENDING);
        }

        @Override
        public ReplicaStatus parse(String replica, int status, Buffer body, Findings findings) {
            failOnce(Step.READING);
            return new ReplicaStatus(false, 1);
        }

        private void failOnce(Step step) {
            if (failing == step) {
                failing = null;
                throw new StackOverflowError();
            }
        }
    }
}
