package io.vanillapoint.entry.traffic;

import io.vanillapoint.core.attempt.AttemptOutcome;
import io.vanillapoint.entry.port.RequestFormat;
import io.vanillapoint.entry.port.ResponseEnvelope;
import io.vanillapoint.entry.port.UpstreamCall;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.RequestOptions;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Sends a request to a replica on a dedicated connection, so that it cannot receive the response to
 * another request. Confined to one event loop.
 */
final class UpstreamAttempt extends HttpAttempt {
    private final RequestFormat format;
    private final EventLoopGate gate;
    private final UpstreamCall call;
    private final LongSupplier remainingMillis;
    private final BooleanSupplier replicaAccepts;
    private final String requestId;

    UpstreamAttempt(
            RequestFormat format,
            EventLoopGate gate,
            UpstreamCall call,
            LongSupplier remainingMillis,
            BooleanSupplier replicaAccepts,
            String requestId,
            AttemptListener listener) {
        super(listener);
        this.format = format;
        this.gate = gate;
        this.call = call;
        this.remainingMillis = remainingMillis;
        this.replicaAccepts = replicaAccepts;
        this.requestId = requestId;
    }

    void start(HttpClient client, RequestOptions target, Buffer body) {
        client.request(target)
                .onComplete(
                        connected -> {
                            if (connected.failed()) {
                                fail(AttemptOutcome.NOT_SENT, connected.cause().getMessage(), 0);
                            } else {
                                gate.execute(
                                        () ->
                                                guarded(
                                                        "sending",
                                                        () -> send(connected.result(), body)));
                            }
                        });
    }

    private void send(HttpClientRequest request, Buffer body) {
        requestOpened(request);
        long remaining = remainingMillis.getAsLong();
        if (done() || remaining <= 0) {
            // The request's deadline timer refuses the request, which has not run.
            reset();
            return;
        }
        if (!replicaAccepts.getAsBoolean()) {
            reset();
            fail(AttemptOutcome.WITHHELD, "replica no longer accepts the request", 0);
            return;
        }
        try {
            format.writeCall(call.withRemainingMillis(remaining), request.headers());
        } catch (Throwable e) {
            reset();
            fail(AttemptOutcome.WITHHELD, "request cannot be written: " + e, 0);
            return;
        }
        request.response()
                .onComplete(
                        answered -> {
                            if (answered.failed()) {
                                failResponse(answered.cause());
                            } else {
                                guarded(
                                        "reading the response",
                                        () -> readResponse(answered.result()));
                            }
                        });
        sending();
        if (body.length() > 0) {
            request.end(body);
        } else {
            request.end();
        }
    }

    private void readResponse(HttpClientResponse response) {
        responseStarted(response);
        if (done()) {
            return;
        }
        ResponseEnvelope head;
        try {
            head = format.response(response.statusCode(), response.headers());
        } catch (Throwable e) {
            fail(AttemptOutcome.GARBLED, "response cannot be read: " + e, 0);
            reset();
            return;
        }
        Optional<String> defect = defect(head);
        if (defect.isPresent()) {
            fail(AttemptOutcome.GARBLED, defect.get(), 0);
            reset();
            return;
        }
        response.handler(
                data -> {
                    if (!done()) {
                        listener().data(data);
                    }
                });
        boolean framed =
                response.headers().contains(HttpHeaders.CONTENT_LENGTH)
                        || response.headers().contains(HttpHeaders.TRANSFER_ENCODING);
        response.endHandler(ignored -> succeed(framed));
        listener().head(head);
    }

    private Optional<String> defect(ResponseEnvelope head) {
        if (!head.isFinal()) {
            return Optional.of("status " + head.status() + " is not final");
        }
        if (head.success() && head.notExecuted()) {
            return Optional.of("success that states that the request has not run");
        }
        if (head.success() && head.encoded()) {
            return Optional.of("success with an encoded body");
        }
        // A replica at a reused address refuses what is not meant for it without reading the id.
        boolean unattributed =
                head.requestId().isEmpty() && head.notExecuted() && !head.misdirected();
        if (unattributed) {
            return Optional.of("refusal without a request id");
        }
        boolean otherRequest = head.requestId().filter(id -> !id.equals(requestId)).isPresent();
        boolean unsigned = head.success() && !head.signed();
        return otherRequest || unsigned
                ? Optional.of("response belongs to another request or has no signature")
                : Optional.empty();
    }
}
