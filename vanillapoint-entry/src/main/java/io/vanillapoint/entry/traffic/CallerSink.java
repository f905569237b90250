package io.vanillapoint.entry.traffic;

import io.vanillapoint.core.message.HeaderField;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;

/** Writes the HTTP response to a caller. Confined to the connection's event loop. */
final class CallerSink extends HttpResponseSink {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int SUCCESS_CLASS = 2;

    private final HttpServerRequest request;
    private final BooleanSupplier closing;
    private final ResponseMemoryBudget memory;
    private boolean success;
    private boolean answered;

    CallerSink(
            HttpServerRequest request,
            OpenResponses openResponses,
            BooleanSupplier closing,
            ResponseMemoryBudget memory) {
        super(request.response(), openResponses);
        this.request = request;
        this.closing = closing;
        this.memory = memory;
    }

    @Override
    public void head(int status, List<HeaderField> headers, OptionalLong length) {
        if (closed()) {
            return;
        }
        success = status / 100 == SUCCESS_CLASS;
        response().setStatusCode(status);
        headers.forEach(header -> response().headers().add(header.name(), header.value()));
        if (length.isPresent()) {
            response().putHeader(HttpHeaders.CONTENT_LENGTH, Long.toString(length.getAsLong()));
        } else {
            response().setChunked(true);
        }
        announceClose();
    }

    @Override
    public void write(Buffer data) {
        if (!closed()) {
            memory.holdUntil(data.length(), response().write(data));
        }
    }

    @Override
    public void stalled() {
        // A caller can't replace the replica.
    }

    @Override
    public void end() {
        if (!closed()) {
            answered = success;
            endResponse();
        }
    }

    /** Tells whether a successful response was written to its end. */
    boolean answered() {
        return answered;
    }

    @Override
    public void abort() {
        request.connection().close();
    }

    @Override
    public void refuse(Refusal refusal) {
        if (closed()) {
            return;
        }
        response().headers().clear();
        response().setStatusCode(refusal.status());
        if (refusal.retryAfterMillis() > 0) {
            double seconds = refusal.retryAfterMillis() / MILLIS_PER_SECOND;
            response()
                    .putHeader(
                            HttpHeaders.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", seconds));
        }
        response().putHeader(HttpHeaders.CONTENT_TYPE, "application/json");
        announceClose();
        endResponse(Buffer.buffer("{\"error\":\"" + refusal.reason() + "\"}"));
    }

    private void announceClose() {
        if (closing.getAsBoolean()) {
            response().putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        }
    }
}
