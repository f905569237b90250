package io.vanillapoint.server.traffic;

import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.core.message.HeaderField;
import io.vertx.core.buffer.Buffer;
import java.util.List;

/** Receives a response and sends it to a caller or another VM. Confined to one event loop. */
interface ResponseSink {
    /** Starts the response. Called at most once. */
    void head(int status, List<HeaderField> headers);

    /** Sends a part of the body. */
    void data(Buffer part);

    /** True if the source should pause until the sink accepts data again. */
    boolean isFull();

    /** Sets the handler to call when the sink accepts data again. */
    void onDrain(Runnable handler);

    /** Ends a complete response. */
    void end();

    /**
     * Ends an incomplete response: with an error if nothing was sent, else by aborting the
     * connection or stream, so that the receiver can't mistake a truncated response for a complete
     * one.
     */
    void fail(VanillapointException error);

    /** Sets the handler to call when the receiver disconnects or cancels. */
    void onClose(Runnable handler);
}
