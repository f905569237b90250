package io.vanillapoint.entry.traffic;

import io.vanillapoint.core.message.HeaderField;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.OptionalLong;

/** Receives the response to a request. Confined to one event loop. */
public interface ResponseSink {
    /**
     * Sends status and headers.
     *
     * @param status HTTP status
     * @param headers headers of the response
     * @param length length of the body in bytes, empty for a streamed body
     */
    void head(int status, List<HeaderField> headers, OptionalLong length);

    /**
     * Sends a part of the body.
     *
     * @param data bytes
     */
    void write(Buffer data);

    /** Reports that the replica is silent, to a VM that may replace it; may be repeated. */
    void stalled();

    /** Ends a complete response. */
    void end();

    /** Aborts the response so that the receiver can tell that it is incomplete. */
    void abort();

    /**
     * Sends an error response of the gateway instead of an upstream's response.
     *
     * @param refusal error to send
     */
    void refuse(Refusal refusal);

    /**
     * Tells whether the write queue is full.
     *
     * @return true if writing should pause until the queue has drained
     */
    boolean isFull();

    /**
     * Sets the action for the moment at which the write queue has drained.
     *
     * @param action called once
     */
    void onDrain(Runnable action);
}
