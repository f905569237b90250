package io.vanillapoint.entry.traffic;

import io.vanillapoint.core.message.HeaderField;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.OptionalLong;

/** Where the answer to a request goes. Confined to one event loop. */
public interface AnswerSink {
    /**
     * Sends the head.
     *
     * @param status HTTP status
     * @param headers headers of the answer
     * @param length bytes of the body, empty if they come piece by piece
     */
    void head(int status, List<HeaderField> headers, OptionalLong length);

    /**
     * Sends a piece of the body.
     *
     * @param data bytes
     */
    void write(Buffer data);

    /** Ends a whole answer. */
    void end();

    /** Breaks off, so that what was sent does not look like a whole answer. */
    void abort();

    /**
     * Sends a final answer of the system's own instead of an upstream's.
     *
     * @param refusal the answer
     */
    void refuse(Refusal refusal);

    /**
     * Tells whether the receiver is behind.
     *
     * @return true if no more should be written for now
     */
    boolean full();

    /**
     * Sets what to do when the receiver has caught up.
     *
     * @param action called once
     */
    void onDrain(Runnable action);
}
