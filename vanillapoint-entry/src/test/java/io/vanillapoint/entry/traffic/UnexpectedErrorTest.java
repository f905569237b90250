package io.vanillapoint.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.containsString;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.FleetTiming;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.fleet.VmRoster;
import io.vanillapoint.core.message.HeaderField;
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
import io.vanillapoint.entry.port.RequestFormat;
import io.vanillapoint.entry.port.ResponseEnvelope;
import io.vanillapoint.entry.port.UpstreamCall;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Requests that meet an unexpected error after their admission end at once, with an answer. */
class UnexpectedErrorTest {
    private static final ZoneId ZONE = new ZoneId("z");
    private static final RegionId REGION = new RegionId("r");
    private static final ServiceSpec SERVICE = new ServiceSpec("s", 10, 0, 0, Optional.empty());

    /** Far beyond the time that the test waits. */
    private static final int DEADLINE_MILLIS = 120_000;

    private static final long WAIT_SECONDS = 10;

    private final Vertx vertx = Vertx.vertx();
    private final LongSupplier clock = () -> System.nanoTime() / 1_000_000;
    private final RecordingLog log = new RecordingLog();
    private final RecordingSink sink = new RecordingSink();
    private final UpstreamPool pool = new UpstreamPool(Map.of(ZONE, REGION));

    @AfterEach
    void close() throws Exception {
        vertx.close().await(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    static Stream<Fault> faults() {
        return Stream.of(Step.values())
                .flatMap(step -> Stream.of(Thrown.values()).map(thrown -> new Fault(step, thrown)));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void bufferedRequestThatMeetsAnErrorEndsBeforeItsDeadline(Fault fault) throws Exception {
        assertEnds(fault, RouteKind.AT_MOST_ONCE);
    }

    @ParameterizedTest
    @MethodSource("faults")
    void streamThatMeetsAnErrorEndsBeforeItsDeadline(Fault fault) throws Exception {
        assertEnds(fault, RouteKind.EVENT_STREAM);
    }

    private void assertEnds(Fault fault, RouteKind kind) throws Exception {
        // Port 1 of the loopback address has no listener.
        int port = fault.step() == Step.CONNECT_FAILURE ? 1 : listen();
        UpstreamReplica replica =
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
        pool.publish(replica, Optional.of(SERVICE), 0);
        log.onRecord(
                code -> {
                    fault.failIf(Step.PLACING, code == EventCode.PLACED);
                    fault.failIf(Step.CONNECT_FAILURE, code == EventCode.REPLICA_UNREACHABLE);
                });
        Promise<Void> ended = Promise.promise();
        vertx.runOnContext(
                ignored ->
                        new RequestRun(
                                        context(fault),
                                        plan(kind),
                                        new FailingSink(fault, sink),
                                        ended::complete)
                                .start());
        ended.future().await(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(sink.calls(), anyOf(containsString("refuse"), containsString("abort")));
    }

    private int listen() throws Exception {
        return vertx.createHttpServer()
                .requestHandler(request -> request.response().end("id: 1\ndata: a\n\n"))
                .listen(0, "127.0.0.1")
                .await(WAIT_SECONDS, TimeUnit.SECONDS)
                .actualPort();
    }

    private EntryContext context(Fault fault) {
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
                new EventLoopGate(vertx, () -> 0, new EventLoopLag(200, 0)),
                log,
                metrics,
                new FailingFormat(fault),
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

    private RequestPlan plan(RouteKind kind) {
        RouteSpec route =
                new RouteSpec(
                        "r",
                        "h",
                        "/",
                        kind,
                        DEADLINE_MILLIS,
                        800,
                        0,
                        1,
                        List.of(new ServiceShare("s", 1)),
                        1,
                        false,
                        false,
                        false,
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

    /** Step of a request that meets the error. Immutable. */
    private enum Step {
        PLACING,
        CONNECT_FAILURE,
        SENDING,
        READING_HEAD,
        WRITING_HEAD,
        WRITING_DATA,
        ENDING
    }

    /** What is thrown. Immutable. */
    private enum Thrown {
        EXCEPTION {
            @Override
            void raise() {
                throw new IllegalStateException("unforeseen");
            }
        },
        STACK_OVERFLOW {
            @Override
            void raise() {
                throw new StackOverflowError();
            }
        },
        OUT_OF_MEMORY {
            @Override
            void raise() {
                throw new OutOfMemoryError("heap");
            }
        },
        MISSING_CLASS {
            @Override
            void raise() {
                throw new NoClassDefFoundError("Missing");
            }
        };

        abstract void raise();
    }

    /** What is thrown at which step. Immutable. */
    private record Fault(Step step, Thrown thrown) {
        void failIf(Step current, boolean condition) {
            if (step == current && condition) {
                thrown.raise();
            }
        }
    }

    /** Format that fails at one step. Stateless. */
    private record FailingFormat(Fault fault) implements RequestFormat {
        private static final StubRequestFormat STUB = new StubRequestFormat();

        @Override
        public RequestEnvelope request(MultiMap headers) {
            return STUB.request(headers);
        }

        @Override
        public void writeCall(UpstreamCall call, MultiMap headers) {
            fault.failIf(Step.SENDING, true);
        }

        @Override
        public List<HeaderField> relayHeaders(RequestEnvelope request, OptionalLong lastEventId) {
            return STUB.relayHeaders(request, lastEventId);
        }

        @Override
        public ResponseEnvelope response(int status, MultiMap headers) {
            fault.failIf(Step.READING_HEAD, true);
            return STUB.response(status, headers);
        }
    }

    /** Sink that fails at one step and records the calls before it. Confined to one event loop. */
    private record FailingSink(Fault fault, RecordingSink target) implements ResponseSink {
        @Override
        public void head(int status, List<HeaderField> headers, OptionalLong length) {
            fault.failIf(Step.WRITING_HEAD, true);
            target.head(status, headers, length);
        }

        @Override
        public void write(Buffer data) {
            fault.failIf(Step.WRITING_DATA, true);
            target.write(data);
        }

        @Override
        public void stalled() {
            target.stalled();
        }

        @Override
        public void end() {
            fault.failIf(Step.ENDING, true);
            target.end();
        }

        @Override
        public void abort() {
            target.abort();
        }

        @Override
        public void refuse(Refusal refusal) {
            target.refuse(refusal);
        }

        @Override
        public boolean isFull() {
            return false;
        }

        @Override
        public void onDrain(Runnable action) {
            action.run();
        }
    }
}
