package io.vanillapoint.entry;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.LoadMeter;
import io.vanillapoint.core.fleet.TrafficVmSelector;
import io.vanillapoint.core.published.GatewayPublication;
import io.vanillapoint.core.published.TrafficLimits;
import io.vanillapoint.core.upstream.CallerVms;
import io.vanillapoint.entry.control.EntryControl;
import io.vanillapoint.entry.control.EntryTuning;
import io.vanillapoint.entry.control.PublishedState;
import io.vanillapoint.entry.log.ConnectionFailureCounter;
import io.vanillapoint.entry.port.EntryFormat;
import io.vanillapoint.entry.port.EntryRequest;
import io.vanillapoint.entry.relay.RelayHandler;
import io.vanillapoint.entry.settings.EntrySettings;
import io.vanillapoint.entry.traffic.CallerHandler;
import io.vanillapoint.entry.traffic.EntryContext;
import io.vanillapoint.http.InboundConnections;
import io.vanillapoint.http.InboundLimits;
import io.vanillapoint.http.InboundPort;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * HTTP servers of an entry VM for callers, readiness and directory queries, other VMs and metrics.
 *
 * <p>Invariant: the directory answers only after the VM has had time to receive the heartbeats of
 * all others. Confined to one event loop.
 */
final class EntryListeners {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    /** Largest limit for the fields of a head that a configuration may set, in bytes. */
    private static final int MAX_FIELD_BYTES = 64 * 1_024;

    /** Beyond what connections admit, so that only their limits apply. */
    private static final int LIBRARY_FIELD_BYTES = 2 * MAX_FIELD_BYTES;

    private static final int LIBRARY_LINE_BYTES = 8 * 1_024;

    /** Descriptors of a process that the platform keeps for files. */
    private static final int FILE_DESCRIPTORS = 200;

    /** Part of the heap for the heads of requests. */
    private static final int HEAD_MEMORY_DIVISOR = 8;

    private final EntryContext context;
    private final EntrySettings settings;
    private final EntryFormat format;
    private final EntryTuning tuning;
    private final PublishedState publishedState;
    private final EntryControl control;
    private final CallerHandler callers;
    private final RelayHandler relays;
    private final LoadMeter load;
    private final CallerVms callerVms;
    private final ConnectionFailureCounter failureCounter;
    private final boolean readinessIsAskedAmongCallers;
    private final InboundConnections inbound;
    private final List<HttpServer> servers = new ArrayList<>();
    private long startedAtMillis;

    EntryListeners(
            EntryContext context,
            EntrySettings settings,
            EntryFormat format,
            EntryTuning tuning,
            PublishedState publishedState,
            EntryControl control,
            CallerHandler callers,
            RelayHandler relays,
            LoadMeter load) {
        this.context = context;
        this.settings = settings;
        this.format = format;
        this.tuning = tuning;
        this.publishedState = publishedState;
        this.control = control;
        this.callers = callers;
        this.relays = relays;
        this.load = load;
        readinessIsAskedAmongCallers =
                settings.readiness().filter(settings.callers()::equals).isPresent();
        callerVms = new CallerVms(context.fleet(), context.pool());
        failureCounter = new ConnectionFailureCounter(context.metrics());
        inbound =
                new InboundConnections(
                        Runtime.getRuntime().maxMemory() / HEAD_MEMORY_DIVISOR,
                        this::inboundLimits,
                        new InboundLog(context));
        context.metrics().gauge("connections.inbound", inbound::count);
        context.metrics().gauge("heads.held_bytes", inbound::heldBytes);
        context.metrics().gauge("heads.limit_bytes", inbound::limitBytes);
    }

    /** Limits of the configuration in force. */
    private InboundLimits inboundLimits() {
        TrafficLimits limits =
                publishedState
                        .publication()
                        .map(GatewayPublication::limits)
                        .orElse(TrafficLimits.DEFAULT);
        return new InboundLimits(
                Math.min(limits.headerBytes(), MAX_FIELD_BYTES),
                limits.headerTimeoutMillis(),
                limits.idleTimeoutMillis());
    }

    /** Closes connections whose time is over. Called several times a second. */
    void sweepConnections() {
        inbound.sweep(context.clock().getAsLong());
    }

    /** Opens all ports. */
    Future<Void> start() {
        startedAtMillis = context.clock().getAsLong();
        int sockets = settings.descriptors() - FILE_DESCRIPTORS;
        InboundPort callerPort = inboundPort("caller", sockets, PortShare.CALLERS);
        InboundPort questionPort = inboundPort("question", sockets, PortShare.QUESTIONS);
        InboundPort vmPort = inboundPort("vm", sockets, PortShare.VMS);
        InboundPort metricsPort = inboundPort("metrics", sockets, PortShare.METRICS);
        List<Future<?>> listening = new ArrayList<>();
        listening.add(serve(settings.callers(), callerPort, this::handleCaller));
        settings.readiness()
                .filter(endpoint -> !endpoint.equals(settings.callers()))
                .ifPresent(
                        endpoint ->
                                listening.add(
                                        serve(endpoint, questionPort, this::handleEntryRequest)));
        settings.directory()
                .filter(endpoint -> !endpoint.equals(settings.readiness().orElse(null)))
                .ifPresent(
                        endpoint ->
                                listening.add(
                                        serve(endpoint, questionPort, this::handleEntryRequest)));
        Endpoint peers = new Endpoint(settings.host(), settings.peerPort());
        listening.add(serve(peers, vmPort, this::handlePeer));
        listening.add(
                serve(
                        new Endpoint(settings.host(), settings.metricsPort()),
                        metricsPort,
                        request -> respond(request, OK, Buffer.buffer(context.metrics().text()))));
        return Future.all(listening).mapEmpty();
    }

    /**
     * Options of all ports. HTTP/2 upgrades and WebSocket compression, which no caller uses, are
     * disabled, because they cost time on every connection and message. The limits of size and time
     * are those of {@link InboundConnections}; keep-alive probes end connections whose other side
     * is gone.
     */
    static HttpServerOptions serverOptions() {
        return new HttpServerOptions()
                .setTcpNoDelay(true)
                .setTcpKeepAlive(true)
                .setMaxHeaderSize(LIBRARY_FIELD_BYTES)
                .setMaxInitialLineLength(LIBRARY_LINE_BYTES)
                .setHandle100ContinueAutomatically(true)
                .setHttp2ClearTextEnabled(false)
                .setPerFrameWebSocketCompressionSupported(false)
                .setPerMessageWebSocketCompressionSupported(false);
    }

    private InboundPort inboundPort(String name, int sockets, PortShare share) {
        return inbound.port(name, Math.max(1, sockets / share.divisor), 1, share.idle);
    }

    private Future<?> serve(
            Endpoint endpoint, InboundPort port, Handler<HttpServerRequest> handler) {
        HttpServerOptions options =
                serverOptions().setHost(endpoint.host()).setPort(endpoint.port());
        HttpServer server =
                context.vertx()
                        .createHttpServer(options)
                        .connectionHandler(
                                connection -> {
                                    failureCounter.countFailures(connection, port.name());
                                    port.guard(connection);
                                })
                        .requestHandler(request -> handle(request, port.name(), handler));
        servers.add(server);
        return server.listen();
    }

    /** Answers a request whose handler fails; a handler passes nothing on before it returns. */
    private void handle(
            HttpServerRequest request, String peer, Handler<HttpServerRequest> handler) {
        try {
            handler.handle(request);
        } catch (Throwable e) {
            context.errors().record("handling a request of " + peer, e);
            if (request.response().headWritten()) {
                request.connection().close();
            } else {
                respond(request, UNAVAILABLE, Buffer.buffer());
            }
        }
    }

    /**
     * Stops reading requests and closes all connections, idle ones first.
     *
     * @param millis time for responses that are still being written
     * @return completed when all are closed
     */
    Future<Void> stop(long millis) {
        List<Future<Void>> closing = new ArrayList<>();
        servers.forEach(server -> closing.add(server.shutdown(millis, TimeUnit.MILLISECONDS)));
        return Future.join(closing).mapEmpty();
    }

    private void handleEntryRequest(HttpServerRequest request) {
        EntryRequest entryRequest = format.parse(request.path(), request.params());
        if (entryRequest instanceof EntryRequest.Readiness) {
            respond(request, ready() ? OK : UNAVAILABLE, Buffer.buffer());
        } else if (entryRequest instanceof EntryRequest.Directory directory) {
            handleDirectory(request, directory);
        } else {
            respond(request, NOT_FOUND, Buffer.buffer());
        }
    }

    private void handleDirectory(HttpServerRequest request, EntryRequest.Directory directory) {
        long now = context.clock().getAsLong();
        Set<RegionId> homes =
                publishedState
                        .publication()
                        .map(configuration -> configuration.homes(directory.host()))
                        .orElse(Set.of());
        boolean restrictedToHomes =
                publishedState
                        .publication()
                        .filter(configuration -> configuration.restrictedToHomes(directory.host()))
                        .isPresent();
        List<String> addresses =
                TrafficVmSelector.sample(
                                callerVms.select(directory.region(), homes, restrictedToHomes, now),
                                ThreadLocalRandom.current()::nextDouble)
                        .stream()
                        .map(vm -> new Endpoint(vm.host(), settings.callers().port()).toString())
                        .toList();
        if (addresses.isEmpty() || !directoryReady(now)) {
            respond(request, UNAVAILABLE, Buffer.buffer());
            return;
        }
        context.log()
                .record(
                        EventCode.DIRECTORY_ANSWERED,
                        directory.host(),
                        directory.region(),
                        homes,
                        addresses);
        request.response().putHeader(HttpHeaders.CONTENT_TYPE, "application/json");
        respond(request, OK, format.encodeDirectory(addresses, tuning.directoryTtlSeconds()));
    }

    private void handleCaller(HttpServerRequest request) {
        if (readinessIsAskedAmongCallers
                && format.parse(request.path(), request.params())
                        instanceof EntryRequest.Readiness) {
            handleEntryRequest(request);
            return;
        }
        load.request(context.clock().getAsLong());
        callers.handle(request);
    }

    private void handlePeer(HttpServerRequest request) {
        if (request.path().equals(RelayHandler.path())) {
            load.request(context.clock().getAsLong());
            relays.handle(request);
        } else if (request.path().equals(EntryControl.publishedPath())) {
            respond(
                    request,
                    OK,
                    control.publishedSince(request.getParam("after"), request.getParam("era")));
        } else if (request.path().equals(EntryControl.configurationPath())) {
            respond(request, OK, control.configurationInForce(request.getParam("newerThan")));
        } else {
            respond(request, NOT_FOUND, Buffer.buffer());
        }
    }

    private static void respond(HttpServerRequest request, int status, Buffer body) {
        request.response().setStatusCode(status).end(body);
    }

    /**
     * Tells whether the directory may answer. A VM that has just started may know only a single VM
     * of another region and would direct all callers to it; until then, callers query the next
     * directory instead.
     */
    private boolean directoryReady(long now) {
        boolean knowsConfiguration = publishedState.publication().isPresent();
        return knowsConfiguration && now - startedAtMillis >= tuning.membershipWarmupMillis();
    }

    private boolean ready() {
        return context.fleet().self().state().acceptsRequests();
    }

    /** Part of the sockets that the connections of a port may use. */
    private enum PortShare {
        CALLERS(3, InboundPort.Idle.CLOSED),
        QUESTIONS(16, InboundPort.Idle.CLOSED),
        VMS(4, InboundPort.Idle.KEPT),
        METRICS(64, InboundPort.Idle.CLOSED);

        private final int divisor;
        private final InboundPort.Idle idle;

        PortShare(int divisor, InboundPort.Idle idle) {
            this.divisor = divisor;
            this.idle = idle;
        }
    }
}
