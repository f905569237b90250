package io.vanillapoint.server.traffic;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.RunState;
import io.vanillapoint.api.error.VanillapointException;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/** Reads the body of one request up to a size limit. Confined to one event loop. */
final class BodyReader {
    private final int maxBytes;
    private final Buffer body = Buffer.buffer();
    private final Promise<Buffer> promise = Promise.promise();

    BodyReader(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Resumes a paused request and reads its body; fails if it is too large or incomplete. */
    Future<Buffer> read(HttpServerRequest request) {
        request.handler(this::append);
        request.endHandler(ignored -> promise.tryComplete(body));
        request.exceptionHandler(
                error ->
                        promise.tryFail(
                                new VanillapointException(
                                        ErrorCode.BAD_REQUEST,
                                        "body",
                                        "the body ended too early",
                                        RunState.NOT_RUN,
                                        null)));
        request.resume();
        return promise.future();
    }

    static VanillapointException tooLarge(int limit) {
        return new VanillapointException(
                ErrorCode.BODY_TOO_LARGE, "body", "expected at most " + limit + " bytes");
    }

    private void append(Buffer part) {
        if (promise.future().isComplete()) {
            return;
        }
        if (body.length() + part.length() > maxBytes) {
            promise.fail(tooLarge(maxBytes));
            return;
        }
        body.appendBuffer(part);
    }
}
