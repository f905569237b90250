package io.vanillapoint.server.traffic;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.RunState;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.core.memory.BodyMemoryBudget;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;

/**
 * Reads the body of one request up to a size limit, into memory that is reserved before. A body in
 * chunks is reserved at twice its length, since the buffer that holds it doubles when it is full.
 * Confined to one event loop.
 */
final class BodyReader {
    private static final int GROWTH_FACTOR = 2;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final int maxBytes;
    private final BodyMemoryBudget.Reservation memory;
    private final Promise<Buffer> promise = Promise.promise();
    private Buffer body;
    private long declaredBytes;

    /** Creates a reader; who calls it releases the memory. */
    BodyReader(int maxBytes, BodyMemoryBudget.Reservation memory) {
        this.maxBytes = maxBytes;
        this.memory = memory;
    }

    /** Resumes a paused request and reads its body; fails if it is too large or incomplete. */
    Future<Buffer> read(HttpServerRequest request) {
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        declaredBytes = length == null ? 0 : Long.parseLong(length);
        if (memory.tryResize(declaredBytes)) {
            body = Buffer.buffer((int) declaredBytes);
        } else {
            promise.fail(noMemory());
        }
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

    private static VanillapointException noMemory() {
        return VanillapointException.refusal(
                ErrorCode.OVERLOADED, "the bodies of other requests take the memory", RETRY_AFTER);
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
            fail(tooLarge(maxBytes));
            return;
        }
        long bytes = body.length() + part.length();
        if (bytes > declaredBytes && !memory.tryResize(GROWTH_FACTOR * bytes)) {
            fail(noMemory());
            return;
        }
        body.appendBuffer(part);
    }

    /** What still arrives is discarded. */
    private void fail(VanillapointException error) {
        body = null;
        promise.fail(error);
    }
}
