package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** Log that keeps the codes of its events. Thread-safe. */
public final class RecordingLog implements EventSink {
    private final List<EventCode> codes = new CopyOnWriteArrayList<>();
    private volatile Consumer<EventCode> onRecord = code -> {};

    @Override
    public void record(EventCode code, Object... values) {
        codes.add(code);
        onRecord.accept(code);
    }

    /** Sets a listener that is called synchronously with each recorded event. */
    void onRecord(Consumer<EventCode> action) {
        onRecord = action;
    }

    /**
     * Codes of the recorded events.
     *
     * @return copy, in order
     */
    public List<EventCode> codes() {
        return List.copyOf(codes);
    }
}
