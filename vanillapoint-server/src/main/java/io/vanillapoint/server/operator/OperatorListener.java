package io.vanillapoint.server.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vanillapoint.api.event.Event;
import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.KeyDigest;
import io.vanillapoint.http.InboundPort;
import io.vanillapoint.runtime.MetricsText;
import io.vanillapoint.server.control.ControlPlane;
import io.vanillapoint.server.control.ControlStatus;
import io.vanillapoint.server.event.EventRecorder;
import io.vanillapoint.server.metric.GatewayMetrics;
import io.vanillapoint.server.settings.DaemonSettings;
import io.vanillapoint.server.traffic.InboundRefusals;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;

/**
 * HTTP endpoints for operators: health, status, time line, metrics and drain. All but health
 * require the operator key. Confined to one event loop.
 */
public final class OperatorListener {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String JSON = "application/json";
    private static final String BEARER = "Bearer ";

    /** Part of the callers' limit of connections. */
    private static final int PORT_PART = 8;

    private final ControlPlane control;
    private final EventRecorder recorder;
    private final GatewayMetrics metrics;
    private final DaemonSettings settings;
    private final Runnable drain;

    /**
     * Creates a listener.
     *
     * @param control the control plane
     * @param recorder source of the events in the time line
     * @param metrics metrics to expose
     * @param settings settings of the daemon, with the digest of the operator key
     * @param drain starts the graceful shutdown
     */
    public OperatorListener(
            ControlPlane control,
            EventRecorder recorder,
            GatewayMetrics metrics,
            DaemonSettings settings,
            Runnable drain) {
        this.control = control;
        this.recorder = recorder;
        this.metrics = metrics;
        this.settings = settings;
        this.drain = drain;
    }

    /**
     * Starts listening.
     *
     * @param vertx instance that runs the server
     * @param address address to listen on
     * @return completed when the server accepts connections
     */
    public Future<?> listen(Vertx vertx, Endpoint address) {
        Promise<HttpServer> listening = Promise.promise();
        vertx.getOrCreateContext()
                .runOnContext(
                        ignored -> {
                            InboundPort port =
                                    InboundRefusals.port(
                                            vertx, settings, metrics, "operators", PORT_PART, 1);
                            vertx.createHttpServer(InboundRefusals.options(settings))
                                    .connectionHandler(port::guard)
                                    .requestHandler(this::handle)
                                    .listen(address.port(), address.host())
                                    .onComplete(listening);
                        });
        return listening.future();
    }

    private void handle(HttpServerRequest request) {
        String endpoint = request.method() + " " + request.path();
        if (endpoint.equals("GET /health")) {
            boolean ready = control.config().revision() > 0 && !control.isDraining();
            request.response().setStatusCode(ready ? 200 : 503).end();
            return;
        }
        if (!isOperator(request)) {
            request.response().setStatusCode(401).end();
            return;
        }
        switch (endpoint) {
            case "GET /status" ->
                    control.status().onSuccess(status -> sendJson(request, statusJson(status)));
            case "GET /timeline" -> sendJson(request, timelineJson());
            case "GET /metrics" -> sendJson(request, MetricsText.json(metrics.registry()));
            case "GET /metrics/prometheus" ->
                    request.response()
                            .putHeader("content-type", "text/plain; version=0.0.4")
                            .end(MetricsText.prometheus(metrics.registry()));
            case "POST /drain" -> {
                drain.run();
                request.response().setStatusCode(202).end();
            }
            default -> request.response().setStatusCode(404).end();
        }
    }

    private boolean isOperator(HttpServerRequest request) {
        String authorization = request.getHeader("authorization");
        if (authorization == null || !authorization.startsWith(BEARER)) {
            return false;
        }
        String key = authorization.substring(BEARER.length());
        return KeyDigest.of(key).equals(settings.operatorKey());
    }

    private static void sendJson(HttpServerRequest request, ObjectNode body) {
        request.response().putHeader("content-type", JSON).end(body.toString());
    }

    private static ObjectNode statusJson(ControlStatus status) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("vm", status.vm().value());
        node.put("region", status.region().value());
        node.put("config_revision", status.configRevision());
        node.put("share_active", status.shareActive());
        node.put("base_share", status.baseShare());
        ArrayNode live = node.putArray("live_vms");
        status.liveVms().forEach(vm -> live.add(vm.value()));
        node.put("running", status.running());
        node.put("waiting", status.waiting());
        node.put("draining", status.draining());
        return node;
    }

    private ObjectNode timelineJson() {
        ObjectNode node = MAPPER.createObjectNode();
        ArrayNode events = node.putArray("events");
        for (Event event : recorder.events()) {
            ObjectNode entry = events.addObject();
            entry.put("wall_ms", event.at().wallMillis());
            entry.put("counter", event.at().counter());
            entry.put("source", event.source());
            entry.put("number", event.code().number());
            entry.put("level", event.code().level().name());
            entry.put("text", event.text());
        }
        return node;
    }
}
