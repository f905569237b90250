package io.vanillapoint.entry.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.RunState;
import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.FleetTiming;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.fleet.VmRoster;
import io.vanillapoint.core.memory.BodyMemoryBudget;
import io.vanillapoint.core.message.ForwardCredit;
import io.vanillapoint.core.message.ForwardFailure;
import io.vanillapoint.core.message.PeerMessage;
import io.vanillapoint.core.message.RelayRequest;
import io.vanillapoint.core.prompt.SessionLocations;
import io.vanillapoint.core.published.GatewayPublication;
import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceShare;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.published.TrafficLimits;
import io.vanillapoint.core.retry.RetryAllowance;
import io.vanillapoint.core.retry.RetryBounds;
import io.vanillapoint.core.upstream.PlacementWeights;
import io.vanillapoint.core.upstream.ReplicaChooser;
import io.vanillapoint.core.upstream.UpstreamPool;
import io.vanillapoint.entry.log.EntryMetrics;
import io.vanillapoint.entry.traffic.EntryContext;
import io.vanillapoint.entry.traffic.EventLoopGate;
import io.vanillapoint.entry.traffic.EventLoopLag;
import io.vanillapoint.entry.traffic.PromptGuard;
import io.vanillapoint.entry.traffic.RecordingLog;
import io.vanillapoint.entry.traffic.RequestBodies;
import io.vanillapoint.entry.traffic.ResponseMemoryBudget;
import io.vanillapoint.entry.traffic.StubRequestFormat;
import io.vanillapoint.wire.FleetCodec;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Relayed requests that cannot be run are refused at once, so that other VMs do not wait. */
class RelayHandlerTest {
    private static final ZoneId ZONE = new ZoneId("z");
    private static final long HEAP_BYTES = 160_000_000;
    private static final RegionId REGION = new RegionId("r");
    private static final long WAIT_SECONDS = 10;
    private static final long RELAYED_BY = 4;

    private final Vertx vertx = Vertx.vertx();
    private final LongSupplier clock = () -> System.nanoTime() / 1_000_000;
    private final RecordingLog log = new RecordingLog();
    private boolean refusing;

    @AfterEach
    void close() throws Exception {
        vertx.close().await(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void requestWhoseRouteIsUnknownHereIsRefusedAsNotRun() throws Exception {
        ForwardFailure failure = relay(Optional::empty);
        assertThat(failure.message(), is("not_known_here"));
        assertThat(failure.code(), is(ErrorCode.NO_UPSTREAM));
        assertThat(failure.runState(), is(RunState.NOT_RUN));
    }

    /** The relaying VM is behind. */
    @Test
    void requestWhoseRouteLeadsElsewhereByNowIsNotRunByTheFormerService() throws Exception {
        ForwardFailure failure = relay(() -> configuration(RELAYED_BY + 1, "other"));
        assertThat(failure.message(), is("configuration_superseded"));
        assertThat(failure.code(), is(ErrorCode.NO_UPSTREAM));
        assertThat(failure.runState(), is(RunState.NOT_RUN));
    }

    /** This VM is behind. The stub of the request format fails next. */
    @Test
    void requestThatALaterVersionAdmittedIsNotRefusedForAnEarlierOne() throws Exception {
        ForwardFailure failure = relay(() -> configuration(RELAYED_BY - 1, "other"));
        assertThat(failure.message(), is("internal_error"));
    }

    @Test
    void requestThatArrivesWhenTheProcessEndsIsRefusedAsNotRun() throws Exception {
        refusing = true;
        ForwardFailure failure = relay(Optional::empty);
        assertThat(failure.message(), is("shutting_down"));
        assertThat(failure.runState(), is(RunState.NOT_RUN));
    }

    @Test
    void requestThatMeetsAnUnexpectedErrorIsRefusedAsNotRun() throws Exception {
        ForwardFailure failure =
                relay(
                        () -> {
                            throw new IllegalStateException("unforeseen");
                        });
        assertThat(failure.message(), is("internal_error"));
        assertThat(failure.runState(), is(RunState.NOT_RUN));
        assertThat(log.codes(), hasItem(EventCode.INTERNAL_ERROR));
    }

    @Test
    void requestThatMeetsAnErrorOfTheVirtualMachineIsRefusedAsNotRun() throws Exception {
        ForwardFailure failure =
                relay(
                        () -> {
                            throw new OutOfMemoryError("heap");
                        });
        assertThat(failure.message(), is("internal_error"));
        assertThat(failure.runState(), is(RunState.NOT_RUN));
        assertThat(log.codes(), hasItem(EventCode.INTERNAL_ERROR));
    }

    private ForwardFailure relay(Supplier<Optional<GatewayPublication>> publication)
            throws Exception {
        RelayHandler handler =
                new RelayHandler(
                        context(),
                        publication,
                        () -> refusing,
                        plan -> true,
                        new RequestBodies(
                                new BodyMemoryBudget(HEAP_BYTES), log, new EntryMetrics()));
        int port =
                vertx.createHttpServer()
                        .requestHandler(handler::handle)
                        .listen(0, "127.0.0.1")
                        .await(WAIT_SECONDS, TimeUnit.SECONDS)
                        .actualPort();
        Buffer body = Buffer.buffer(new FleetCodec().encode(request()));
        Buffer frames =
                vertx.createHttpClient()
                        .request(HttpMethod.POST, port, "127.0.0.1", RelayHandler.path())
                        .compose(request -> request.send(body))
                        .compose(HttpClientResponse::body)
                        .await(WAIT_SECONDS, TimeUnit.SECONDS);
        List<PeerMessage> messages = new ArrayList<>();
        new FrameReader(messages::add).read(frames);
        assertThat(messages.get(0), is(new ForwardCredit(0, 0)));
        assertThat(messages.size(), is(2));
        return (ForwardFailure) messages.get(1);
    }

    private static RelayRequest request() {
        return new RelayRequest(
                "id-1",
                "route",
                "service",
                Optional.empty(),
                4_000,
                "POST",
                "/a",
                List.of(),
                new byte[0],
                RELAYED_BY);
    }

    /** A configuration in which the route leads to a service; two services are known. */
    private static Optional<GatewayPublication> configuration(long version, String service) {
        RouteSpec route =
                new RouteSpec(
                        "route",
                        "h",
                        "/",
                        RouteKind.IDEMPOTENT,
                        4_000,
                        800,
                        0,
                        1,
                        List.of(new ServiceShare(service, 1)),
                        2,
                        true,
                        false,
                        false,
                        Set.of());
        List<ServiceSpec> services =
                List.of(
                        new ServiceSpec("service", 10, 0, 0, Optional.empty()),
                        new ServiceSpec("other", 10, 0, 0, Optional.empty()));
        return Optional.of(
                new GatewayPublication(
                        version, List.of(route), services, List.of(), TrafficLimits.DEFAULT));
    }

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
}
