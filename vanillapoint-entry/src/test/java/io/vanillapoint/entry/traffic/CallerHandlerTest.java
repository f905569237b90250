package io.vanillapoint.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.FleetTiming;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.fleet.VmRoster;
import io.vanillapoint.core.grant.GrantMeter;
import io.vanillapoint.core.grant.GrantTolerance;
import io.vanillapoint.core.memory.BodyMemoryBudget;
import io.vanillapoint.core.message.HeaderField;
import io.vanillapoint.core.prompt.SessionLocations;
import io.vanillapoint.core.published.StorePosition;
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
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Requests that meet an unexpected error. */
class CallerHandlerTest {
    private static final ZoneId ZONE = new ZoneId("z");
    private static final RegionId REGION = new RegionId("r");
    private static final long WAIT_SECONDS = 10;
    private static final long HEAP_BYTES = 160_000_000;

    private final Vertx vertx = Vertx.vertx();
    private final LongSupplier clock = () -> System.nanoTime() / 1_000_000;
    private final RecordingLog log = new RecordingLog();

    @AfterEach
    void close() throws Exception {
        vertx.close().await(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void requestThatMeetsAnUnexpectedErrorIsRefusedAtOnce() throws Exception {
        CallerHandler handler =
                new CallerHandler(
                        context(),
                        Optional::empty,
                        () -> StorePosition.START,
                        new GrantMeter(new GrantTolerance(0)),
                        () -> false,
                        plan -> true,
                        new RouteDurations(),
                        new RequestBodies(
                                new BodyMemoryBudget(HEAP_BYTES), log, new EntryMetrics()));
        int port =
                vertx.createHttpServer()
                        .requestHandler(handler::handle)
                        .listen(0, "127.0.0.1")
                        .await(WAIT_SECONDS, TimeUnit.SECONDS)
                        .actualPort();
        HttpClient client = vertx.createHttpClient();
        for (int i = 0; i < 2; i++) {
            assertThat(call(client, port), is(503));
        }
        assertThat(log.codes(), hasItem(EventCode.INTERNAL_ERROR));
    }

    /** An error of the virtual machine, as a full stack or heap raises, is no exception. */
    @Test
    void requestThatMeetsAnErrorOfTheVirtualMachineIsRefusedAtOnce() throws Exception {
        EntryContext stub = context();
        EntryContext context =
                new EntryContext(
                        stub.vertx(),
                        stub.clock(),
                        stub.gate(),
                        stub.log(),
                        stub.metrics(),
                        new OverflowingFormat(),
                        stub.fleet(),
                        stub.roster(),
                        stub.pool(),
                        stub.chooser(),
                        stub.sessions(),
                        stub.retries(),
                        stub.prompts(),
                        stub.memory(),
                        stub.upstreamClient(),
                        stub.vmClient(),
                        stub.peerPort(),
                        stub.configurationVersion());
        CallerHandler handler =
                new CallerHandler(
                        context,
                        Optional::empty,
                        () -> StorePosition.START,
                        new GrantMeter(new GrantTolerance(0)),
                        () -> false,
                        plan -> true,
                        new RouteDurations(),
                        new RequestBodies(
                                new BodyMemoryBudget(HEAP_BYTES), log, new EntryMetrics()));
        int port =
                vertx.createHttpServer()
                        .requestHandler(handler::handle)
                        .listen(0, "127.0.0.1")
                        .await(WAIT_SECONDS, TimeUnit.SECONDS)
                        .actualPort();
        assertThat(call(vertx.createHttpClient(), port), is(503));
    }

    /** Calls on the client's event loop, where the end of the response can't be missed. */
    private int call(HttpClient client, int port) throws Exception {
        Promise<Integer> status = Promise.promise();
        vertx.runOnContext(
                ignored ->
                        client.request(HttpMethod.GET, port, "127.0.0.1", "/")
                                .compose(request -> request.send())
                                .compose(response -> response.end().map(response.statusCode()))
                                .onComplete(status));
        return status.future().await(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** The stub of the request format throws an unforeseen exception for each request. */
    private EntryContext context() {
        MemberInfo self =
                new MemberInfo(
                        "vm", "127.0.0.1", REGION, ZONE, MemberInfo.ONE_CORE, 1, MemberState.READY);
        FleetView fleet = new FleetView(self, FleetTiming.DEFAULT, 1);
        VmRoster roster = new VmRoster(self, Set.of(ZONE), 1, FleetTiming.DEFAULT, 0);
        SessionLocations sessions = new SessionLocations();
        UpstreamPool pool = new UpstreamPool(Map.of(ZONE, REGION));
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

    /** Format whose reading of a request exhausts the stack. Stateless. */
    private static final class OverflowingFormat implements RequestFormat {
        private static final StubRequestFormat STUB = new StubRequestFormat();

        @Override
        public RequestEnvelope request(MultiMap headers) {
            throw new StackOverflowError();
        }

        @Override
        public void writeCall(UpstreamCall call, MultiMap headers) {}

        @Override
        public List<HeaderField> relayHeaders(RequestEnvelope request, OptionalLong lastEventId) {
            return STUB.relayHeaders(request, lastEventId);
        }

        @Override
        public ResponseEnvelope response(int status, MultiMap headers) {
            return STUB.response(status, headers);
        }
    }
}
