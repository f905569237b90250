package io.vanillapoint.entry.traffic;

import io.vanillapoint.core.attempt.AttemptEnd;
import io.vanillapoint.entry.port.AnswerEnvelope;
import io.vanillapoint.entry.port.RequestFormat;
import io.vanillapoint.entry.port.UpstreamCall;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.RequestOptions;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Sends a request to a replica on a dedicated connection, so that it cannot receive the response to
 * another request. Confined to one event loop.
 */
final class UpstreamAttempt extends HttpAttempt {
    private final RequestFormat format;
    private final ReadGate gate;
    private final UpstreamCall call;
    private final LongSupplier remainingMillis;
    private final BooleanSupplier serves;
    private final String requestId;

    UpstreamAttempt(
            RequestFormat format,
            ReadGate gate,
            UpstreamCall call,
            LongSupplier remainingMillis,
            BooleanSupplier serves,
            String requestId,
            AttemptListener listener) {
        super(listener);
        this.format = format;
        this.gate = gate;
        this.call = call;
        this.remainingMillis = remainingMillis;
        this.serves = serves;
        this.requestId = requestId;
    }

    void start(HttpClient client, RequestOptions target, Buffer body) {
        client.request(target)
                .onComplete(
                        connected -> {
                            if (connected.failed()) {
                                fail(AttemptEnd.NOT_SENT, connected.cause().getMessage(), 0);
                            } else {
                                gate.pass(() -> send(connected.result(), body));
                            }
                        });
    }

    private void send(HttpClientRequest connected, Buffer body) {
        sending(connected);
        long remaining = remainingMillis.getAsLong();
        if (done() || remaining <= 0) {
            // The request's deadline timer sends the timeout to the caller.
            reset();
            return;
        }
        if (!serves.getAsBoolean()) {
            reset();
            fail(AttemptEnd.WITHHELD, "replica no longer accepts the request", 0);
            return;
        }
        format.writeCall(call.withRemainingMillis(remaining), connected.headers());
        connected
                .response()
                .onComplete(
                        answered -> {
                            if (answered.failed()) {
                                fail(AttemptEnd.LOST, answered.cause().getMessage(), 0);
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
        answered(answered);
        if (done()) {
            return;
        }
        AnswerEnvelope answer = format.answer(answered.statusCode(), answered.headers());
        boolean otherRequest = answer.requestId().filter(id -> !id.equals(requestId)).isPresent();
        if (otherRequest || (answer.success() && !answer.signed())) {
            fail(AttemptEnd.GARBLED, "response belongs to another request", 0);
            reset();
            return;
        }
        answered.handler(
                data -> {
                    if (!done()) {
                        listener().data(data);
                    }
                });
        boolean framed =
                answered.headers().contains(HttpHeaders.CONTENT_LENGTH)
                        || answered.headers().contains(HttpHeaders.TRANSFER_ENCODING);
        answered.endHandler(nothing -> succeed(framed));
        listener().head(answer);
    }
}
