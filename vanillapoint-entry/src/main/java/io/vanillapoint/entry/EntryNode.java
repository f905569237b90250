package io.vanillapoint.entry;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.CustomerSpend;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.FleetTiming;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.grant.GrantMeter;
import io.vanillapoint.core.grant.GrantTolerance;
import io.vanillapoint.core.prompt.SessionLocations;
import io.vanillapoint.core.published.GatewayPublication;
import io.vanillapoint.core.upstream.PlacementWeights;
import io.vanillapoint.core.upstream.ReplicaChooser;
import io.vanillapoint.core.upstream.UpstreamPool;
import io.vanillapoint.entry.control.EntryControl;
import io.vanillapoint.entry.control.EntryTuning;
import io.vanillapoint.entry.control.PublicationBoard;
import io.vanillapoint.entry.control.RetryAllowance;
import io.vanillapoint.entry.log.DecisionLog;
import io.vanillapoint.entry.log.EntryMetrics;
import io.vanillapoint.entry.log.LineWriter;
import io.vanillapoint.entry.port.EntryPlatform;
import io.vanillapoint.entry.port.EntryQuestion;
import io.vanillapoint.entry.relay.RelayHandler;
import io.vanillapoint.entry.settings.EntrySettings;
import io.vanillapoint.entry.traffic.CallerHandler;
import io.vanillapoint.entry.traffic.EntryContext;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * One entry VM: listeners, membership, copy of the store and requests, all on one event loop. These
 * VMs have one core, so a second thread for control would only add wake-ups.
 *
 * <p>Invariant: the VM says that it is ready only while it knows a configuration and has not been
 * told to stop. Confined to its event loop, but for {@link #stop}, which any thread may call.
 */
public final class EntryNode {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    /** Larger than the largest head that operators allow by default, so that they decide. */
    private static final int MAX_HEADER_BYTES = 32 * 1_024;

    /** More than a VM of this size can have under way. */
    private static final int MAX_CONNECTIONS = 3_000;

    private static final int VM_CONNECTIONS = 64;
    private static final int VM_IDLE_SECONDS = 8;
    private static final int VM_CONNECT_MILLIS = 700;

    private final Vertx vertx;
    private final EntrySettings settings;
    private final EntryPlatform platform;
    private final EntryTuning tuning = EntryTuning.DEFAULT;
    private final DecisionLog log;
    private final EntryMetrics metrics = new EntryMetrics();
    private final LongSupplier clock = () -> System.nanoTime() / 1_000_000;
    private final FleetView fleet;
    private final UpstreamPool pool;
    private final SessionLocations sessions = new SessionLocations();
    private final GrantMeter grants;
    private final RetryAllowance retries;
    private final PublicationBoard board;
    private final EntryControl control;
    private final CallerHandler callers;
    private final RelayHandler relays;
    private final Promise<Void> stopped = Promise.promise();
    private long startedAtMillis;
    private boolean refusing;

    /**
     * Creates a VM that does nothing yet.
     *
     * @param vertx event loop
     * @param settings settings
     * @param platform the platform's formats
     * @param incarnation start of the process in milliseconds since 1970
     * @param writer where log lines go
     */
    public EntryNode(
            Vertx vertx,
            EntrySettings settings,
            EntryPlatform platform,
            long incarnation,
            LineWriter writer) {
        this.vertx = vertx;
        this.settings = settings;
        this.platform = platform;
        log = new DecisionLog(settings.vm(), System::currentTimeMillis, writer);
        MemberInfo self =
                new MemberInfo(
                        settings.vm(),
                        settings.host(),
                        settings.region(),
                        settings.zone(),
                        incarnation,
                        MemberState.STARTING);
        fleet = new FleetView(self, FleetTiming.DEFAULT, settings.smallestFleet());
        pool = new UpstreamPool(settings.zones());
        grants = new GrantMeter(new GrantTolerance(settings.quotaSlackTokens()));
        retries = new RetryAllowance(settings.retries());
        board =
                new PublicationBoard(
                        platform.published(), pool, log, clock, this::publicationTaken);
        HttpClient vms = vmClient();
        EntryContext context =
                new EntryContext(
                        vertx,
                        clock,
                        log,
                        metrics,
                        platform.requests(),
                        fleet,
                        pool,
                        new ReplicaChooser(pool, fleet, PlacementWeights.DEFAULT, sessions),
                        sessions,
                        retries,
                        upstreamClient(),
                        vms,
                        settings.peerPort());
        callers =
                new CallerHandler(
                        context, board::publication, grants, this::stopping, () -> refusing);
        relays = new RelayHandler(context, board::publication);
        control =
                new EntryControl(
                        context,
                        board,
                        platform.source(vertx, settings.store()),
                        this::report,
                        this::heard);
    }

    /**
     * Starts everything.
     *
     * @return completed when all listeners are open
     */
    public Future<Void> start() {
        Promise<Void> started = Promise.promise();
        vertx.runOnContext(
                nothing -> {
                    startedAtMillis = clock.getAsLong();
                    MemberInfo self = fleet.self();
                    log.record(
                            EventCode.ENTRY_STARTED,
                            self.region(),
                            self.zone(),
                            self.incarnation());
                    vertx.setPeriodic(tuning.flushMillis(), unused -> tick());
                    listen().compose(done -> control.start(settings.seeds())).onComplete(started);
                });
        return started.future();
    }

    /**
     * Stops gracefully: callers are sent elsewhere, requests under way end.
     *
     * @return completed when the process may end
     */
    public Future<Void> stop() {
        vertx.runOnContext(nothing -> drain());
        return stopped.future();
    }

    /**
     * Takes settings that were read again.
     *
     * @param newer the settings; only the seeds may differ
     * @param cause what made the process read them
     */
    public void reload(EntrySettings newer, String cause) {
        vertx.runOnContext(
                nothing -> {
                    control.seeds(newer.seeds());
                    log.record(EventCode.SETTINGS_RELOADED, newer.seeds(), cause);
                });
    }

    /**
     * Records that settings could not be read again.
     *
     * @param error what is wrong with them
     */
    public void reloadFailed(String error) {
        vertx.runOnContext(nothing -> log.record(EventCode.SETTINGS_REFUSED, error));
    }

    private Future<Void> listen() {
        List<Future<?>> listening = new ArrayList<>();
        listening.add(serve(settings.callers(), callers::handle));
        settings.readiness()
                .filter(endpoint -> !endpoint.equals(settings.callers()))
                .ifPresent(endpoint -> listening.add(serve(endpoint, this::question)));
        settings.directory()
                .filter(endpoint -> !endpoint.equals(settings.readiness().orElse(null)))
                .ifPresent(endpoint -> listening.add(serve(endpoint, this::question)));
        listening.add(serve(new Endpoint(settings.host(), settings.peerPort()), this::peerRequest));
        listening.add(
                serve(
                        new Endpoint(settings.host(), settings.metricsPort()),
                        request -> answer(request, OK, Buffer.buffer(metrics.text()))));
        return Future.all(listening).mapEmpty();
    }

    private Future<?> serve(Endpoint endpoint, Handler<HttpServerRequest> handler) {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setHost(endpoint.host())
                        .setPort(endpoint.port())
                        .setTcpNoDelay(true)
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setHandle100ContinueAutomatically(true);
        return vertx.createHttpServer(options).requestHandler(handler).listen();
    }

    private void question(HttpServerRequest request) {
        EntryQuestion question = platform.entry().question(request.path(), request.params());
        if (question instanceof EntryQuestion.Readiness) {
            answer(request, ready() ? OK : UNAVAILABLE, Buffer.buffer());
        } else if (question instanceof EntryQuestion.Directory directory) {
            directory(request, directory);
        } else {
            answer(request, NOT_FOUND, Buffer.buffer());
        }
    }

    private void directory(HttpServerRequest request, EntryQuestion.Directory directory) {
        long now = clock.getAsLong();
        Set<RegionId> homes =
                board.publication().map(known -> known.homes(directory.host())).orElse(Set.of());
        List<String> addresses =
                fleet.hostsFor(directory.region(), homes, now).stream()
                        .map(host -> new Endpoint(host, settings.callers().port()).toString())
                        .toList();
        if (addresses.isEmpty() || !settled(now)) {
            answer(request, UNAVAILABLE, Buffer.buffer());
            return;
        }
        log.record(
                EventCode.DIRECTORY_ANSWERED,
                directory.host(),
                directory.region(),
                homes,
                addresses);
        request.response().putHeader(HttpHeaders.CONTENT_TYPE, "application/json");
        answer(request, OK, platform.entry().directory(addresses, tuning.directorySeconds()));
    }

    private void peerRequest(HttpServerRequest request) {
        if (request.path().equals(RelayHandler.path())) {
            relays.handle(request);
        } else if (request.path().equals(EntryControl.publishedPath())) {
            answer(request, OK, control.published(request.getParam("after")));
        } else {
            answer(request, NOT_FOUND, Buffer.buffer());
        }
    }

    private static void answer(HttpServerRequest request, int status, Buffer body) {
        request.response().setStatusCode(status).end(body);
    }

    private void tick() {
        if (fleet.self().state() == MemberState.STARTING && board.publication().isPresent()) {
            state(MemberState.READY, "configuration known");
        }
        retries.vms(fleet.members().size() + 1);
        pool.prune(clock.getAsLong());
        log.flush();
    }

    private void drain() {
        if (stopping()) {
            return;
        }
        state(MemberState.DRAINING, "told to stop");
        long startedAt = clock.getAsLong();
        vertx.setTimer(tuning.acceptMillis(), nothing -> refusing = true);
        vertx.setPeriodic(
                tuning.flushMillis(),
                timer -> {
                    long elapsed = clock.getAsLong() - startedAt;
                    boolean idle = callers.running() + relays.running() == 0;
                    boolean over = elapsed >= settings.graceMillis() - tuning.reserveMillis();
                    if (over || (idle && elapsed >= tuning.settleMillis())) {
                        vertx.cancelTimer(timer);
                        end();
                    }
                });
    }

    private void end() {
        state(MemberState.GONE, "requests ended");
        log.record(EventCode.ENTRY_STOPPED, callers.running() + relays.running());
        log.flush();
        stopped.tryComplete();
    }

    private void state(MemberState state, String reason) {
        fleet.selfState(state);
        log.record(EventCode.ENTRY_STATE, state, reason);
        control.announce();
    }

    /**
     * A VM that has just started may know one VM of another region only and would send all callers
     * there; callers ask the next directory instead.
     */
    private boolean settled(long now) {
        boolean knowsConfiguration = board.publication().isPresent();
        return knowsConfiguration && now - startedAtMillis >= tuning.hearMillis();
    }

    private boolean ready() {
        return fleet.self().state().takesRequests();
    }

    private boolean stopping() {
        return fleet.self().state().compareTo(MemberState.READY) > 0;
    }

    private void heard(FleetReport report) {
        long now = clock.getAsLong();
        List<CustomerSpend> spends = fleet.receive(report, now);
        sessions.heard(report.reads(), now);
        grants.spentElsewhere(spends, fleet.heardShare(now), now);
    }

    private void publicationTaken(GatewayPublication publication) {
        long now = clock.getAsLong();
        grants.configure(publication.customers(), fleet.heardShare(now), now);
    }

    private FleetReport report() {
        long now = clock.getAsLong();
        return fleet.report(
                now, board.revision(), grants.uses(), pool.uses(), sessions.report(now));
    }

    private HttpClient upstreamClient() {
        HttpClientOptions options = new HttpClientOptions().setKeepAlive(false).setTcpNoDelay(true);
        PoolOptions connections =
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS).setEventLoopSize(1);
        return vertx.createHttpClient(options, connections);
    }

    private HttpClient vmClient() {
        HttpClientOptions options =
                new HttpClientOptions()
                        .setTcpNoDelay(true)
                        .setKeepAliveTimeout(VM_IDLE_SECONDS)
                        .setConnectTimeout(VM_CONNECT_MILLIS);
        PoolOptions connections = new PoolOptions().setHttp1MaxSize(VM_CONNECTIONS);
        return vertx.createHttpClient(options, connections);
    }
}
