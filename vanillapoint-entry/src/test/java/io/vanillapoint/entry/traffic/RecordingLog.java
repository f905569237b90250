package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Keeps the codes of recorded events. Safe for use by several threads. */
final class RecordingLog implements EventSink {
    private final List<EventCode> codes = new CopyOnWriteArrayList<>();

    @Override
    public void record(EventCode code, Object... values) {
        codes.add(code);
    }

    List<EventCode> codes() {
        return List.copyOf(codes);
    }
}
