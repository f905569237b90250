package io.vanillapoint.entry.traffic;

import io.vanillapoint.core.message.HeaderField;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.OptionalLong;

/** Sink that records its calls as text. Confined to one event loop. */
final class RecordingSink implements AnswerSink {
    private final StringBuilder seen = new StringBuilder();

    @Override
    public void head(int status, List<HeaderField> headers, OptionalLong length) {
        seen.append("head ").append(status).append(' ');
    }

    @Override
    public void write(Buffer data) {
        seen.append("data ");
    }

    @Override
    public void end() {
        seen.append("end ");
    }

    @Override
    public void abort() {
        seen.append("abort ");
    }

    @Override
    public void refuse(Refusal refusal) {
        seen.append("refuse ").append(refusal.status()).append(' ').append(refusal.reason());
        seen.append(refusal.notRun() ? " not run " : " ");
    }

    @Override
    public boolean full() {
        return false;
    }

    @Override
    public void onDrain(Runnable action) {
        action.run();
    }

    String seen() {
        return seen.toString().strip();
    }
}
