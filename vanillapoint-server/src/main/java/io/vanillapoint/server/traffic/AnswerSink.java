package io.vanillapoint.server.traffic;

import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.core.message.HeaderField;
import io.vertx.core.buffer.Buffer;
import java.util.List;

/** Takes an answer and passes it on, to a caller or to another VM. Confined to one event loop. */
interface AnswerSink {
    /** Begins the answer. Called once at most. */
    void head(int status, List<HeaderField> headers);

    /** Passes a part of the body on. */
    void data(Buffer part);

    /** True if the receiver is slow and the source should pause. */
    boolean isFull();

    /** Sets what to call once the receiver takes more. */
    void onDrain(Runnable handler);

    /** Ends a whole answer. */
    void end();

    /**
     * Ends without a whole answer: as an error if nothing was passed on, else by cutting the
     * connection, so that the receiver never takes the part for the whole.
     */
    void fail(VanillapointException error);

    /** Sets what to call when the receiver goes away. */
    void onClose(Runnable handler);
}
