package io.vanillapoint.entry.traffic;

import io.vanillapoint.core.attempt.AttemptEnd;
import io.vanillapoint.entry.port.AnswerEnvelope;
import io.vanillapoint.entry.port.RequestFormat;
import io.vanillapoint.entry.port.UpstreamCall;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.util.function.LongSupplier;

/**
 * Sends a request to a replica on a connection of its own, so that no answer to another request can
 * stand where this one's is expected. Confined to one event loop.
 */
final class UpstreamAttempt implements Attempt {
    private final RequestFormat format;
    private final ReadGate gate;
    private final UpstreamCall call;
    private final LongSupplier remainingMillis;
    private final String requestId;
    private final AttemptListener listener;
    private HttpClientRequest request;
    private HttpClientResponse response;
    private boolean done;

    UpstreamAttempt(
            RequestFormat format,
            ReadGate gate,
            UpstreamCall call,
            LongSupplier remainingMillis,
            String requestId,
            AttemptListener listener) {
        this.format = format;
        this.gate = gate;
        this.call = call;
        this.remainingMillis = remainingMillis;
        this.requestId = requestId;
        this.listener = listener;
    }

    void start(HttpClient client, RequestOptions target, Buffer body) {
        client.request(target)
                .onComplete(
                        connected -> {
                            if (connected.failed()) {
                                fail(AttemptEnd.NOT_SENT, connected.cause());
                            } else {
                                gate.pass(() -> send(connected.result(), body));
                            }
                        });
    }

    @Override
    public void cancel() {
        done = true;
        if (request != null) {
            request.reset();
        }
    }

    @Override
    public void pause() {
        if (response != null) {
            response.pause();
        }
    }

    @Override
    public void resume() {
        if (response != null) {
            response.resume();
        }
    }

    private void send(HttpClientRequest connected, Buffer body) {
        request = connected;
        long remaining = remainingMillis.getAsLong();
        if (done || remaining <= 0) {
            // The request's own timer tells the caller that its time is up.
            connected.reset();
            return;
        }
        format.writeCall(call.withRemainingMillis(remaining), connected.headers());
        connected
                .response()
                .onComplete(
                        answered -> {
                            if (answered.failed()) {
                                fail(AttemptEnd.LOST, answered.cause());
                            } else {
                                read(answered.result());
                            }
                        });
        if (body.length() > 0) {
            connected.end(body);
        } else {
            connected.end();
        }
    }

    private void read(HttpClientResponse answered) {
        response = answered;
        answered.exceptionHandler(error -> fail(AttemptEnd.LOST, error));
        if (done) {
            return;
        }
        AnswerEnvelope answer = format.answer(answered.statusCode(), answered.headers());
        boolean otherRequest = answer.requestId().filter(id -> !id.equals(requestId)).isPresent();
        if (otherRequest || (answer.success() && !answer.signed())) {
            fail(AttemptEnd.GARBLED, new IllegalStateException("answer to another request"));
            request.reset();
            return;
        }
        answered.handler(
                data -> {
                    if (!done) {
                        listener.data(data);
                    }
                });
        answered.endHandler(
                nothing -> {
                    if (!done) {
                        done = true;
                        listener.end();
                    }
                });
        listener.head(answer);
    }

    private void fail(AttemptEnd end, Throwable cause) {
        if (!done) {
            done = true;
            listener.failed(end, String.valueOf(cause.getMessage()), 0);
        }
    }
}
