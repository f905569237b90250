package io.vanillapoint.server.traffic;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.core.message.HeaderField;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;

/** Sends a response to a caller over HTTP. Confined to the connection's event loop. */
final class CallerSink implements ResponseSink {
    private static final String JSON = "application/json";

    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private Runnable drainHandler = () -> {};

    CallerSink(HttpServerRequest request) {
        this.request = request;
        this.response = request.response();
    }

    @Override
    public void head(int status, List<HeaderField> headers) {
        response.setStatusCode(status);
        headers.forEach(header -> response.headers().add(header.name(), header.value()));
        if (response.headers().get("content-length") == null) {
            response.setChunked(true);
        }
    }

    @Override
    public void data(Buffer part) {
        if (!response.closed()) {
            response.write(part);
        }
    }

    @Override
    public boolean isFull() {
        return !response.closed() && response.writeQueueFull();
    }

    @Override
    public void onDrain(Runnable handler) {
        drainHandler = handler;
        response.drainHandler(ignored -> handler.run());
    }

    @Override
    public void end() {
        if (!response.closed()) {
            response.end();
        }
    }

    @Override
    public void fail(VanillapointException error) {
        if (response.closed() || response.ended()) {
            return;
        }
        if (response.headWritten()) {
            abort();
            return;
        }
        response.headers().clear();
        response.setChunked(false);
        sendError(error, ErrorBody.of(error));
    }

    @Override
    public void onClose(Runnable handler) {
        response.closeHandler(ignored -> onDisconnect(handler));
        response.exceptionHandler(error -> onDisconnect(handler));
    }

    /** Sends an error with the given body. */
    void sendError(VanillapointException error, ObjectNode body) {
        response.setStatusCode(error.code().httpStatus());
        response.putHeader("content-type", JSON);
        error.retryAfter()
                .ifPresent(
                        wait ->
                                response.putHeader(
                                        "retry-after",
                                        String.valueOf(ErrorBody.retryAfterSeconds(wait))));
        response.end(body.toString());
    }

    /** Resumes a paused source too, since the drain event never comes after a disconnect. */
    private void onDisconnect(Runnable handler) {
        handler.run();
        drainHandler.run();
    }

    /** Closes the connection to mark the response as incomplete. */
    private void abort() {
        request.connection().close();
    }
}
