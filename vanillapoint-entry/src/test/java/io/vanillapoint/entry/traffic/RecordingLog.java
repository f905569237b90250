package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/** Log that keeps its events. Thread-safe. */
public final class RecordingLog implements EventSink {
    private final List<EventCode> codes = new CopyOnWriteArrayList<>();
    private final List<String> texts = new CopyOnWriteArrayList<>();
    private volatile Consumer<EventCode> onRecord = code -> {};

    @Override
    public void record(EventCode code, Object... values) {
        codes.add(code);
        texts.add(code + " " + Arrays.toString(values));
        onRecord.accept(code);
    }

    /**
     * Sets a listener that is called synchronously with each recorded event.
     *
     * @param action the listener
     */
    public void onRecord(Consumer<EventCode> action) {
        onRecord = action;
    }

    /**
     * Recorded events of one kind.
     *
     * @param code kind of event
     * @return a line for each of them, with its values
     */
    public String text(EventCode code) {
        return texts.stream()
                .filter(text -> text.startsWith(code + " "))
                .collect(Collectors.joining("\n"));
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
