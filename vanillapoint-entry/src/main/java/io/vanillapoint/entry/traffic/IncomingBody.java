package io.vanillapoint.entry.traffic;

import io.vanillapoint.core.memory.BodyMemoryBudget;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;

/**
 * Reads the body of one request into memory that is reserved before.
 *
 * <p>A declared length is reserved at once. A chunked body is reserved as it arrives, at twice its
 * length, because the buffer that holds it doubles when it is full. A body that is rejected is
 * discarded as it arrives, so that the caller can send it to its end and read the response.
 *
 * <p>Invariant: the listener is called at most once. Confined to one event loop.
 */
public final class IncomingBody {
    /**
     * Longest time in which a body arrives; twice the longest deadline of the known routes. Without
     * it, a connection that has gone silent would keep its reservation until keep-alive probes end
     * it, which takes hours.
     */
    static final long MAX_TRANSFER_MILLIS = 30_000;

    private static final long GROWTH_FACTOR = 2;

    private final Vertx vertx;
    private final HttpServerRequest request;
    private final long maxBytes;
    private final BodyMemoryBudget.Reservation memory;
    private final Listener listener;
    private final long transferMillis;
    private final boolean chunked;
    private Buffer body;
    private long timer = -1;

    private IncomingBody(
            Vertx vertx,
            HttpServerRequest request,
            long maxBytes,
            BodyMemoryBudget.Reservation memory,
            Listener listener,
            long transferMillis) {
        this.vertx = vertx;
        this.request = request;
        this.maxBytes = maxBytes;
        this.memory = memory;
        this.listener = listener;
        this.transferMillis = transferMillis;
        chunked = request.headers().contains(HttpHeaders.TRANSFER_ENCODING);
    }

    /**
     * Starts reading.
     *
     * @param vertx event loop, for the time limit
     * @param request request whose body has not been read
     * @param maxBytes largest body, in bytes
     * @param memory reservation for the body; the caller of this method releases it
     * @param listener receives the body or the reason why there is none
     */
    public static void read(
            Vertx vertx,
            HttpServerRequest request,
            long maxBytes,
            BodyMemoryBudget.Reservation memory,
            Listener listener) {
        read(vertx, request, maxBytes, memory, listener, MAX_TRANSFER_MILLIS);
    }

    /** Starts reading with another time limit, in milliseconds. */
    static void read(
            Vertx vertx,
            HttpServerRequest request,
            long maxBytes,
            BodyMemoryBudget.Reservation memory,
            Listener listener,
            long transferMillis) {
        new IncomingBody(vertx, request, maxBytes, memory, listener, transferMillis).start();
    }

    /**
     * Length that a request declares.
     *
     * @param request the request
     * @return bytes; 0 if it declares none, and the largest number if what it declares is none
     */
    public static long declaredLength(HttpServerRequest request) {
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        try {
            long bytes = length == null ? 0 : Long.parseLong(length);
            return bytes < 0 ? Long.MAX_VALUE : bytes;
        } catch (NumberFormatException e) {
            return Long.MAX_VALUE;
        }
    }

    private void start() {
        long declared = declaredLength(request);
        if (declared > maxBytes) {
            listener.rejected(Rejection.TOO_LARGE);
            return;
        }
        if (!memory.tryResize(declared)) {
            listener.rejected(Rejection.NO_MEMORY);
            return;
        }
        body = Buffer.buffer(Math.toIntExact(declared));
        if (declared > 0 || chunked) {
            timer = vertx.setTimer(transferMillis, ignored -> reject(Rejection.TOO_SLOW));
        }
        request.exceptionHandler(ignored -> stop());
        request.handler(this::append);
        request.endHandler(
                ignored -> {
                    Buffer complete = body;
                    stop();
                    listener.complete(complete);
                });
    }

    private void append(Buffer data) {
        long length = (long) body.length() + data.length();
        if (length > maxBytes) {
            reject(Rejection.TOO_LARGE);
        } else if (chunked && !memory.tryResize(GROWTH_FACTOR * length)) {
            reject(Rejection.NO_MEMORY);
        } else {
            try {
                body.appendBuffer(data);
            } catch (Throwable e) {
                // A body must not be passed on with a part missing.
                stop();
                listener.failed(e);
            }
        }
    }

    private void reject(Rejection rejection) {
        stop();
        listener.rejected(rejection);
    }

    /** Ends reading. What still arrives is discarded. */
    private void stop() {
        body = null;
        request.handler(null);
        request.endHandler(null);
        if (timer >= 0) {
            vertx.cancelTimer(timer);
            timer = -1;
        }
    }

    /** Why a body is not kept. */
    public enum Rejection {
        /** It exceeds the limit for one body. */
        TOO_LARGE,
        /** It does not fit beside the bodies that are held now. */
        NO_MEMORY,
        /** It has not arrived within the time limit. */
        TOO_SLOW
    }

    /** Receives the result. */
    public interface Listener {
        /**
         * The body has arrived completely.
         *
         * @param body the body
         */
        void complete(Buffer body);

        /**
         * The body is not kept.
         *
         * @param rejection the reason
         */
        void rejected(Rejection rejection);

        /**
         * An unexpected error prevents that the body is kept.
         *
         * @param error the error
         */
        void failed(Throwable error);
    }
}
