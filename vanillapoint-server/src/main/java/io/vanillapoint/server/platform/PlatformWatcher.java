package io.vanillapoint.server.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.core.message.PublishedValue;
import io.vanillapoint.core.time.ClockReading;
import io.vanillapoint.http.BoundedBody;
import io.vanillapoint.http.StrictHttpClient;
import io.vanillapoint.server.control.ControlPlane;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Watches the platform's configuration service with long polling, one read at a time.
 *
 * <p>Each long poll is short, so that an unresponsive connection is detected and the list of VMs is
 * known to be fresh. Confined to the control thread.
 */
public final class PlatformWatcher {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int LONG_POLL_SECONDS = 5;
    private static final long INACTIVE_SHARE_PAUSE_MILLIS = 500;
    private static final long RESPONSE_TIMEOUT_MILLIS = 8_000;

    /** Largest answer, in bytes. */
    private static final long MAX_RESPONSE_BYTES = 16L * 1_024 * 1_024;

    private static final long INITIAL_RETRY_DELAY_MILLIS = 250;
    private static final long MAX_RETRY_DELAY_MILLIS = 2_000;

    private final Vertx vertx;
    private final HttpClient client;
    private final Endpoint address;
    private final ControlPlane control;
    private long retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
    private boolean lastReadSucceeded;

    /**
     * Creates a watcher.
     *
     * @param vertx instance of the control thread
     * @param address the platform's configuration service
     * @param connectMillis longest wait for a connection in milliseconds
     * @param control receives the values
     */
    public PlatformWatcher(
            Vertx vertx, Endpoint address, long connectMillis, ControlPlane control) {
        this.vertx = vertx;
        this.address = address;
        this.control = control;
        this.client =
                StrictHttpClient.create(
                        vertx,
                        new HttpClientOptions().setConnectTimeout((int) connectMillis),
                        new PoolOptions(),
                        connection -> {});
    }

    /** Starts reading. */
    public void start() {
        control.context().runOnContext(ignored -> read());
    }

    private void read() {
        ClockReading requestedAt = control.now();
        int waitSeconds = lastReadSucceeded && control.holdsShare() ? LONG_POLL_SECONDS : 0;
        String uri =
                "/v1/values?since=" + control.completeThroughRevision() + "&wait=" + waitSeconds;
        // A composed call also ends if sending it throws.
        Future<Buffer> body =
                Future.succeededFuture()
                        .compose(
                                ignored ->
                                        client.request(
                                                HttpMethod.GET,
                                                address.port(),
                                                address.host(),
                                                uri))
                        .compose(PlatformWatcher::response);
        body.timeout(RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .map(buffer -> applyResponse(requestedAt, buffer))
                .onSuccess(ignored -> scheduleNextRead())
                .onFailure(this::onReadFailed);
    }

    /** Frees the connection if no complete response arrives in time. */
    private static Future<Buffer> response(HttpClientRequest request) {
        return request.send()
                .compose(
                        response ->
                                response.statusCode() == 200
                                        ? BoundedBody.read(response, MAX_RESPONSE_BYTES)
                                        : Future.failedFuture("status " + response.statusCode()))
                .timeout(RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .onFailure(error -> request.reset());
    }

    /**
     * Reads again, immediately or, while this VM's share is not active, after a short pause. A
     * newcomer reads often because it needs a fresh list of VMs to activate its share.
     */
    private void scheduleNextRead() {
        if (control.holdsShare()) {
            read();
        } else {
            vertx.setTimer(INACTIVE_SHARE_PAUSE_MILLIS, timer -> read());
        }
    }

    private Void applyResponse(ClockReading requestedAt, Buffer buffer) {
        try {
            JsonNode response = MAPPER.readTree(buffer.getBytes());
            List<PublishedValue> values = new ArrayList<>();
            for (JsonNode value : response.path("values")) {
                values.add(
                        new PublishedValue(
                                value.path("key").asText(),
                                value.path("revision").asLong(),
                                value.path("value").toString()));
            }
            control.acceptValues(values, response.path("revision").asLong(), "platform");
        } catch (IOException e) {
            throw new VanillapointException(
                    ErrorCode.INVALID_CONFIGURATION,
                    "platform",
                    "expected JSON: " + e.getMessage());
        }
        control.recordPlatformRead(requestedAt);
        lastReadSucceeded = true;
        retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
        return null;
    }

    private void onReadFailed(Throwable error) {
        lastReadSucceeded = false;
        vertx.setTimer(retryDelayMillis, timer -> read());
        retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, 2 * retryDelayMillis);
        control.recordPlatformFailure(error);
    }
}
