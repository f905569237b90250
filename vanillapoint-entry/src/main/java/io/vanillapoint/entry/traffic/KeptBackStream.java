package io.vanillapoint.entry.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/**
 * Bytes of a stream that are kept back while another attempt works on the same request.
 *
 * <p>Invariant: each complete event is returned once. Confined to one event loop.
 */
final class KeptBackStream {
    private final Buffer bytes = Buffer.buffer();
    private final EventBoundaries boundaries = new EventBoundaries();
    private int eventStart;

    /** Adds a copy of bytes that follow those added before. */
    void add(Buffer data) {
        bytes.appendBuffer(data);
    }

    /** Returns the next complete event, empty if there is none yet. */
    Optional<StreamEvent> nextEvent() {
        int end = boundaries.nextEnd(bytes);
        if (end < 0) {
            return Optional.empty();
        }
        byte[] event = bytes.getBytes(eventStart, end);
        eventStart = end;
        return Optional.of(StreamEvent.read(event, 0, event.length));
    }

    /** Number of bytes of the events that were returned. */
    int eventBytes() {
        return eventStart;
    }

    /** Bytes after the last event that was returned. */
    Buffer partialEvent() {
        return bytes.slice(eventStart, bytes.length());
    }

    /** All bytes, in order of arrival. */
    Buffer bytes() {
        return bytes;
    }
}
