package io.vanillapoint.http;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/** Reads response bodies up to a size limit and resets the connection beyond it. Stateless. */
public final class BoundedBody {
    private BoundedBody() {}

    /**
     * Reads the body of a response.
     *
     * @param response response whose headers have arrived, not paused
     * @param maxBytes largest body, in bytes
     * @return the body; fails with {@link ErrorCode#BAD_MESSAGE} if it is larger, or with the
     *     connection's error
     */
    public static Future<Buffer> read(HttpClientResponse response, long maxBytes) {
        Promise<Buffer> promise = Promise.promise();
        Buffer body = Buffer.buffer();
        response.exceptionHandler(promise::tryFail);
        response.endHandler(ignored -> promise.tryComplete(body));
        response.handler(
                data -> {
                    if (body.length() + (long) data.length() > maxBytes) {
                        String message = "expected " + maxBytes + " bytes at most, got more";
                        promise.tryFail(
                                new VanillapointException(ErrorCode.BAD_MESSAGE, "body", message));
                        response.request().reset();
                        return;
                    }
                    try {
                        body.appendBuffer(data);
                    } catch (Throwable e) {
                        // Without this part, the body must not be taken for complete.
                        promise.tryFail(e);
                        response.request().reset();
                    }
                });
        return promise.future();
    }
}
