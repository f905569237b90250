package io.vanillapoint.server.traffic;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.RunState;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.model.Upstream;
import io.vanillapoint.core.message.HeaderField;
import io.vanillapoint.http.ResponseReading;
import io.vanillapoint.http.StrictHttpClient;
import io.vanillapoint.server.MonotonicTime;
import io.vanillapoint.server.settings.DaemonSettings.Timeouts;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.Set;

/**
 * Calls upstreams over HTTP. Each request uses a new connection: on a kept one, a late copy of an
 * earlier response could be taken for the response to the next request, and a close while idle
 * would leave the outcome of a request unknown. Confined to one event loop.
 */
final class UpstreamClient {
    private static final int MAX_CONNECTIONS = 512;
    private static final Set<Integer> RETRYABLE_STATUSES = Set.of(429, 502, 503, 504);

    private final Vertx vertx;
    private final Timeouts timeouts;
    private final HttpClient client;

    UpstreamClient(Vertx vertx, Timeouts timeouts) {
        this.vertx = vertx;
        this.timeouts = timeouts;
        HttpClientOptions options =
                new HttpClientOptions()
                        .setConnectTimeout((int) timeouts.connectMillis())
                        .setKeepAlive(false)
                        .setTcpNoDelay(true);
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS);
        this.client =
                StrictHttpClient.createWithBoundedReads(vertx, options, pool, connection -> {});
    }

    /** Sends a request to an upstream and passes the response to a sink. */
    Attempt run(Upstream upstream, RunRequest request, ResponseSink sink) {
        Call call = new Call(request, sink);
        call.start(upstream);
        return call;
    }

    /** One call of an upstream. */
    private final class Call implements Attempt {
        private final RunRequest request;
        private final ResponseSink sink;
        private final Promise<Void> completion = Promise.promise();
        private HttpClientRequest httpRequest;
        private boolean cancelled;
        private boolean paused;
        private boolean headReceived;
        private long lastByteMillis;
        private long timer = -1;

        private Call(RunRequest request, ResponseSink sink) {
            this.request = request;
            this.sink = sink;
        }

        @Override
        public Future<Void> completion() {
            return completion.future();
        }

        @Override
        public void cancel() {
            cancelled = true;
            fail(ErrorCode.UPSTREAM_FAILED, "cancelled", RunState.UNKNOWN);
        }

        private void start(Upstream upstream) {
            RequestOptions options =
                    new RequestOptions()
                            .setMethod(HttpMethod.valueOf(request.method()))
                            .setHost(upstream.address().host())
                            .setPort(upstream.address().port())
                            .setURI(request.plan().uri());
            for (HeaderField header : request.headers()) {
                options.addHeader(header.name(), header.value());
            }
            client.request(options)
                    .onSuccess(this::send)
                    .onFailure(
                            error ->
                                    fail(
                                            ErrorCode.UPSTREAM_UNREACHABLE,
                                            "upstream " + upstream.id() + ": " + messageOf(error),
                                            RunState.NOT_RUN));
        }

        private void send(HttpClientRequest newRequest) {
            if (cancelled) {
                newRequest.reset();
                return;
            }
            httpRequest = newRequest;
            timer = vertx.setTimer(timeouts.firstByteMillis(), id -> onTimeout());
            newRequest
                    .send(Buffer.buffer(request.plan().body()))
                    .onSuccess(this::onResponse)
                    .onFailure(
                            error ->
                                    fail(
                                            ErrorCode.UPSTREAM_FAILED,
                                            messageOf(error),
                                            RunState.UNKNOWN));
        }

        private void onResponse(HttpClientResponse response) {
            if (completion.future().isComplete()) {
                return;
            }
            vertx.cancelTimer(timer);
            boolean retryable =
                    request.plan().idempotent()
                            && RETRYABLE_STATUSES.contains(response.statusCode());
            if (retryable) {
                String message = "the upstream answered with status " + response.statusCode();
                fail(ErrorCode.UPSTREAM_FAILED, message, RunState.UNKNOWN);
                return;
            }
            headReceived = true;
            lastByteMillis = MonotonicTime.millis();
            scheduleIdleCheck();
            sink.head(response.statusCode(), HeaderFilter.toCaller(response.headers()));
            response.handler(this::onData);
            response.exceptionHandler(
                    error -> fail(ErrorCode.UPSTREAM_FAILED, messageOf(error), RunState.RAN));
            response.endHandler(ignored -> onEnd(response));
        }

        private void onData(Buffer part) {
            lastByteMillis = MonotonicTime.millis();
            sink.data(part);
            if (sink.isFull()) {
                paused = true;
                ResponseReading.pause(httpRequest);
                sink.onDrain(
                        () -> {
                            paused = false;
                            lastByteMillis = MonotonicTime.millis();
                            ResponseReading.resume(httpRequest);
                        });
            }
        }

        private void onEnd(HttpClientResponse response) {
            vertx.cancelTimer(timer);
            if (!isFramed(response)) {
                fail(
                        ErrorCode.UPSTREAM_FAILED,
                        "the answer has no length and no end marker",
                        RunState.RAN);
                return;
            }
            completion.tryComplete();
        }

        private boolean isFramed(HttpClientResponse response) {
            boolean chunked = response.getHeader("transfer-encoding") != null;
            boolean hasLength = response.getHeader("content-length") != null;
            boolean hasNoBody =
                    response.statusCode() == 204
                            || response.statusCode() == 304
                            || request.method().equals("HEAD");
            return chunked || hasLength || hasNoBody;
        }

        private void scheduleIdleCheck() {
            timer =
                    vertx.setTimer(
                            timeouts.idleMillis(),
                            id -> {
                                if (!paused
                                        && MonotonicTime.millis() - lastByteMillis
                                                >= timeouts.idleMillis()) {
                                    onTimeout();
                                } else {
                                    scheduleIdleCheck();
                                }
                            });
        }

        private void onTimeout() {
            RunState state = headReceived ? RunState.RAN : RunState.UNKNOWN;
            fail(ErrorCode.UPSTREAM_TIMEOUT, "the upstream fell silent", state);
        }

        private void fail(ErrorCode code, String message, RunState state) {
            vertx.cancelTimer(timer);
            boolean first =
                    completion.tryFail(
                            new VanillapointException(code, "upstream", message, state, null));
            if (first && httpRequest != null) {
                httpRequest.reset();
            }
        }
    }

    private static String messageOf(Throwable error) {
        return String.valueOf(error.getMessage());
    }
}
