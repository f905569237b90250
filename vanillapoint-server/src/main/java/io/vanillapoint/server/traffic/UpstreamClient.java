package io.vanillapoint.server.traffic;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.RunState;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.model.Upstream;
import io.vanillapoint.core.message.HeaderField;
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
 * Calls upstreams over HTTP. Each request that must not be repeated uses a new connection, because
 * a pooled connection that was closed while idle would leave its outcome unknown. Confined to one
 * event loop.
 */
final class UpstreamClient {
    private static final int MAX_CONNECTIONS = 512;
    private static final int KEEP_ALIVE_SECONDS = 4;
    private static final Set<Integer> TRY_ELSEWHERE = Set.of(429, 502, 503, 504);

    private final Vertx vertx;
    private final Timeouts timeouts;
    private final HttpClient pooled;
    private final HttpClient single;

    UpstreamClient(Vertx vertx, Timeouts timeouts) {
        this.vertx = vertx;
        this.timeouts = timeouts;
        HttpClientOptions options =
                new HttpClientOptions()
                        .setConnectTimeout((int) timeouts.connectMillis())
                        .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
                        .setTcpNoDelay(true);
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS);
        this.pooled = vertx.createHttpClient(options, pool);
        this.single =
                vertx.createHttpClient(new HttpClientOptions(options).setKeepAlive(false), pool);
    }

    /** Sends a request to an upstream and passes the response to a sink. */
    Attempt run(Upstream upstream, RunRequest request, AnswerSink sink) {
        Call call = new Call(request, sink);
        call.start(upstream);
        return call;
    }

    /** One call of an upstream. */
    private final class Call implements Attempt {
        private final RunRequest request;
        private final AnswerSink sink;
        private final Promise<Void> done = Promise.promise();
        private HttpClientRequest sent;
        private boolean cancelled;
        private boolean paused;
        private boolean headPassed;
        private long lastByteMillis;
        private long timer = -1;

        private Call(RunRequest request, AnswerSink sink) {
            this.request = request;
            this.sink = sink;
        }

        @Override
        public Future<Void> done() {
            return done.future();
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
            HttpClient client = request.plan().repeatable() ? pooled : single;
            client.request(options)
                    .onSuccess(this::send)
                    .onFailure(
                            error ->
                                    fail(
                                            ErrorCode.UPSTREAM_UNREACHABLE,
                                            "upstream " + upstream.id() + ": " + text(error),
                                            RunState.NOT_RUN));
        }

        private void send(HttpClientRequest opened) {
            if (cancelled) {
                opened.reset();
                return;
            }
            sent = opened;
            timer = vertx.setTimer(timeouts.firstByteMillis(), id -> timedOut());
            opened.send(Buffer.buffer(request.plan().body()))
                    .onSuccess(this::answered)
                    .onFailure(
                            error ->
                                    fail(ErrorCode.UPSTREAM_FAILED, text(error), RunState.UNKNOWN));
        }

        private void answered(HttpClientResponse response) {
            if (done.future().isComplete()) {
                return;
            }
            vertx.cancelTimer(timer);
            boolean tryElsewhere =
                    request.plan().repeatable() && TRY_ELSEWHERE.contains(response.statusCode());
            if (tryElsewhere) {
                String message = "the upstream answered with status " + response.statusCode();
                fail(ErrorCode.UPSTREAM_FAILED, message, RunState.UNKNOWN);
                return;
            }
            headPassed = true;
            lastByteMillis = MonotonicTime.millis();
            watchSilence();
            sink.head(response.statusCode(), HeaderRules.toCaller(response.headers()));
            response.handler(part -> received(response, part));
            response.exceptionHandler(
                    error -> fail(ErrorCode.UPSTREAM_FAILED, text(error), RunState.RAN));
            response.endHandler(nothing -> ended(response));
        }

        private void received(HttpClientResponse response, Buffer part) {
            lastByteMillis = MonotonicTime.millis();
            sink.data(part);
            if (sink.isFull()) {
                paused = true;
                response.pause();
                sink.onDrain(
                        () -> {
                            paused = false;
                            lastByteMillis = MonotonicTime.millis();
                            response.resume();
                        });
            }
        }

        private void ended(HttpClientResponse response) {
            vertx.cancelTimer(timer);
            if (!isFramed(response)) {
                fail(
                        ErrorCode.UPSTREAM_FAILED,
                        "the answer has no length and no end marker",
                        RunState.RAN);
                return;
            }
            done.tryComplete();
        }

        private boolean isFramed(HttpClientResponse response) {
            boolean chunked = response.getHeader("transfer-encoding") != null;
            boolean measured = response.getHeader("content-length") != null;
            boolean bodiless =
                    response.statusCode() == 204
                            || response.statusCode() == 304
                            || request.method().equals("HEAD");
            return chunked || measured || bodiless;
        }

        private void watchSilence() {
            timer =
                    vertx.setTimer(
                            timeouts.idleMillis(),
                            id -> {
                                if (!paused
                                        && MonotonicTime.millis() - lastByteMillis
                                                >= timeouts.idleMillis()) {
                                    timedOut();
                                } else {
                                    watchSilence();
                                }
                            });
        }

        private void timedOut() {
            RunState state = headPassed ? RunState.RAN : RunState.UNKNOWN;
            fail(ErrorCode.UPSTREAM_TIMEOUT, "the upstream fell silent", state);
        }

        private void fail(ErrorCode code, String message, RunState state) {
            vertx.cancelTimer(timer);
            boolean first =
                    done.tryFail(new VanillapointException(code, "upstream", message, state, null));
            if (first && sent != null) {
                sent.reset();
            }
        }
    }

    private static String text(Throwable error) {
        return String.valueOf(error.getMessage());
    }
}
