package io.vanillapoint.server.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.Upstream;
import io.vanillapoint.api.model.UpstreamKind;
import io.vanillapoint.http.BoundedBody;
import io.vanillapoint.http.StrictHttpClient;
import io.vanillapoint.server.control.ControlPlane;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * Polls the load reports of this region's model engines. An engine that does not respond has no
 * report. Confined to the control thread.
 */
public final class LoadPoller {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long RESPONSE_TIMEOUT_MILLIS = 500;

    /** A report has a few numbers. */
    private static final long MAX_REPORT_BYTES = 64 * 1_024;

    private final Vertx vertx;
    private final HttpClient client;
    private final RegionId region;
    private final ControlPlane control;

    /**
     * Creates a poller.
     *
     * @param vertx instance of the control thread
     * @param region region of this VM
     * @param control receives the reports
     */
    public LoadPoller(Vertx vertx, RegionId region, ControlPlane control) {
        this.vertx = vertx;
        this.client = StrictHttpClient.create(vertx);
        this.region = region;
        this.control = control;
    }

    /**
     * Starts polling.
     *
     * @param intervalMillis poll interval in milliseconds; 0 turns polling off
     */
    public void start(long intervalMillis) {
        if (intervalMillis > 0) {
            control.context()
                    .runOnContext(ignored -> vertx.setPeriodic(intervalMillis, timer -> pollAll()));
        }
    }

    private void pollAll() {
        for (Upstream upstream : control.config().upstreams()) {
            if (upstream.kind() == UpstreamKind.MODEL && upstream.region().equals(region)) {
                poll(upstream);
            }
        }
    }

    private void poll(Upstream upstream) {
        client.request(
                        HttpMethod.GET,
                        upstream.address().port(),
                        upstream.address().host(),
                        "/load")
                .compose(LoadPoller::report)
                .timeout(RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .onSuccess(body -> recordReport(upstream, body));
    }

    /** Frees the connection if no complete report arrives in time. */
    private static Future<Buffer> report(HttpClientRequest request) {
        return request.send()
                .compose(response -> BoundedBody.read(response, MAX_REPORT_BYTES))
                .timeout(RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .onFailure(error -> request.reset());
    }

    private void recordReport(Upstream upstream, Buffer body) {
        try {
            JsonNode running = MAPPER.readTree(body.getBytes()).path("running");
            if (running.isNumber()) {
                control.recordUpstreamLoad(upstream.id(), running.asDouble());
            }
        } catch (IOException e) {
            // Ignore a malformed report; the next poll may succeed.
            return;
        }
    }
}
