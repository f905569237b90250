package io.vanillapoint.entry;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.LoadMeter;
import io.vanillapoint.core.fleet.TrafficVmSelector;
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

    /** Larger than the default limit for request heads, so that the configured limit applies. */
    private static final int MAX_HEADER_BYTES = 32 * 1_024;

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
    }

    /** Opens all ports. */
    Future<Void> start() {
        startedAtMillis = context.clock().getAsLong();
        List<Future<?>> listening = new ArrayList<>();
        listening.add(serve(settings.callers(), "caller", this::handleCaller));
        settings.readiness()
                .filter(endpoint -> !endpoint.equals(settings.callers()))
                .ifPresent(
                        endpoint ->
                                listening.add(
                                        serve(endpoint, "question", this::handleEntryRequest)));
        settings.directory()
                .filter(endpoint -> !endpoint.equals(settings.readiness().orElse(null)))
                .ifPresent(
                        endpoint ->
                                listening.add(
                                        serve(endpoint, "question", this::handleEntryRequest)));
        Endpoint peers = new Endpoint(settings.host(), settings.peerPort());
        listening.add(serve(peers, "vm", this::handlePeer));
        listening.add(
                serve(
                        new Endpoint(settings.host(), settings.metricsPort()),
                        "metrics",
                        request -> respond(request, OK, Buffer.buffer(context.metrics().text()))));
        return Future.all(listening).mapEmpty();
    }

    /**
     * Options of all ports. HTTP/2 upgrades and WebSocket compression, which no caller uses, are
     * disabled, because they cost time on every connection and message. No connection is closed for
     * being idle, since a request may cross the close; keep-alive probes end those whose other side
     * is gone.
     */
    static HttpServerOptions serverOptions() {
        return new HttpServerOptions()
                .setTcpNoDelay(true)
                .setTcpKeepAlive(true)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setHandle100ContinueAutomatically(true)
                .setHttp2ClearTextEnabled(false)
                .setPerFrameWebSocketCompressionSupported(false)
                .setPerMessageWebSocketCompressionSupported(false);
    }

    private Future<?> serve(Endpoint endpoint, String peer, Handler<HttpServerRequest> handler) {
        HttpServerOptions options =
                serverOptions().setHost(endpoint.host()).setPort(endpoint.port());
        HttpServer server =
                context.vertx()
                        .createHttpServer(options)
                        .connectionHandler(
                                connection -> failureCounter.countFailures(connection, peer))
                        .requestHandler(request -> handle(request, peer, handler));
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
}
