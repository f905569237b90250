package io.vanillapoint.entry.traffic;

import io.vanillapoint.core.message.HeaderField;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;

/** Sink that records its calls as text. Confined to one event loop. */
final class RecordingSink implements ResponseSink {
    private final StringBuilder calls = new StringBuilder();
    private final Buffer body = Buffer.buffer();
    private Refusal refusal;
    private RuntimeException headFailure;
    private boolean full;
    private Consumer<Runnable> drain = Runnable::run;

    /** Lets the next head fail. */
    void failOnHead(RuntimeException failure) {
        headFailure = failure;
    }

    @Override
    public void head(int status, List<HeaderField> headers, OptionalLong length) {
        if (headFailure != null) {
            throw headFailure;
        }
        calls.append("head ").append(status).append(' ');
    }

    @Override
    public void write(Buffer data) {
        calls.append("data ");
        body.appendBuffer(data);
    }

    @Override
    public void stalled() {
        calls.append("stalled ");
    }

    @Override
    public void end() {
        calls.append("end ");
    }

    @Override
    public void abort() {
        calls.append("abort ");
    }

    @Override
    public void refuse(Refusal refusal) {
        this.refusal = refusal;
        calls.append("refuse ").append(refusal.status()).append(' ').append(refusal.reason());
        calls.append(refusal.notRun() ? " not run " : " ");
    }

    @Override
    public boolean isFull() {
        return full;
    }

    @Override
    public void onDrain(Runnable action) {
        drain.accept(
                () -> {
                    full = false;
                    action.run();
                });
    }

    /** Makes the sink full; the handler gets the action that drains it for good. */
    void fillOnce(Consumer<Runnable> drainHandler) {
        full = true;
        drain = drainHandler;
    }

    /** The last refusal, null if there was none. */
    Refusal refusal() {
        return refusal;
    }

    /** All bytes of the body. */
    String body() {
        return body.toString();
    }

    String calls() {
        return calls.toString().strip();
    }
}
