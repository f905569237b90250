package io.vanillapoint.entry.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Splits an event stream into complete events, so that the bytes passed on never end inside one.
 *
 * <p>Invariants: bytes are passed on unchanged and in order; events that an earlier attempt has
 * already delivered are skipped by their id; nothing is passed on from a block of lines that cannot
 * belong to the stream. Confined to one event loop.
 */
final class EventStreamReader {
    /** Largest event that is buffered, in bytes; events of engines have a few hundred. */
    static final int MAX_EVENT_BYTES = 256 * 1_024;

    /**
     * Largest part of a stream without a new event, in bytes, besides events that are repeated;
     * hours of keep-alive comments.
     */
    private static final long MAX_IDLE_BYTES = 16 * 1_024;

    private static final Optional<String> TOO_LARGE = Optional.of("event exceeds the size limit");
    private static final Optional<String> IDLE =
            Optional.of("stream goes on without a new event beyond the size limit");

    private final Consumer<Buffer> events;
    private Buffer pending = Buffer.buffer();
    private EventBoundaries boundaries = new EventBoundaries();
    private long lastId = -1;
    private long eventCount;
    private long newEventBytes;
    private long idleBytes;
    private long repeatedBytes;
    private boolean consecutive;
    private boolean gapSeen;
    private boolean unnumberedSeen;
    private Optional<String> defect = Optional.empty();

    EventStreamReader(Consumer<Buffer> events) {
        this.events = events;
    }

    /**
     * Reads bytes of the current attempt's response.
     *
     * @param continuation true if another attempt began the stream, so that these bytes have to fit
     *     behind its last event
     * @return false if the attempt has to be abandoned because of {@link #defect()}
     */
    boolean read(Buffer data, boolean continuation) {
        pending.appendBuffer(data);
        int end = endOfLastEvent();
        if (end > 0) {
            Buffer completeEvents = pending.getBuffer(0, end);
            pending = pending.getBuffer(end, pending.length());
            boundaries.removed(end);
            deliver(completeEvents, continuation);
        }
        if (defect.isEmpty() && pending.length() > MAX_EVENT_BYTES) {
            defect = TOO_LARGE;
        }
        return defect.isEmpty();
    }

    /** Why the current attempt has to be abandoned, empty if there is no reason. */
    Optional<String> defect() {
        return defect;
    }

    /** Discards a partial event before bytes of another attempt are read. */
    void restart() {
        pending = Buffer.buffer();
        boundaries = new EventBoundaries();
        idleBytes = 0;
        repeatedBytes = 0;
        defect = Optional.empty();
    }

    /** Tells whether another attempt can go on behind the last event that was passed on. */
    boolean resumable() {
        return !unnumberedSeen;
    }

    /**
     * Number of new complete events; repeated events and comments (keep-alives) are not counted.
     */
    long eventCount() {
        return eventCount;
    }

    /** Bytes after the last complete event. */
    Buffer partialEvent() {
        return pending;
    }

    /** Id of the last event that was passed on, empty if none had an id. */
    OptionalLong lastId() {
        return lastId < 0 ? OptionalLong.empty() : OptionalLong.of(lastId);
    }

    private void deliver(Buffer completeEvents, boolean continuation) {
        byte[] bytes = completeEvents.getBytes();
        EventBoundaries ends = new EventBoundaries();
        int start = 0;
        int flushFrom = 0;
        for (int end = ends.nextEnd(completeEvents); end > 0; end = ends.nextEnd(completeEvents)) {
            StreamEvent event = StreamEvent.read(bytes, start, end);
            recordProgress(event);
            defect = defect(event, continuation).or(this::idleDefect);
            if (defect.isPresent()) {
                flush(completeEvents, flushFrom, start);
                return;
            }
            if (isNew(event)) {
                eventCount++;
                unnumberedSeen |= event.id() < 0;
            }
            if (isRepeated(event)) {
                flush(completeEvents, flushFrom, start);
                flushFrom = end;
            } else if (event.id() >= 0) {
                recordStep(event.id());
                lastId = event.id();
            }
            start = end;
        }
        flush(completeEvents, flushFrom, completeEvents.length());
    }

    private void recordProgress(StreamEvent event) {
        if (isRepeated(event)) {
            repeatedBytes += event.length();
        } else if (event.data()) {
            newEventBytes += event.length();
            idleBytes = 0;
        } else {
            idleBytes += event.length();
        }
    }

    /** An attempt may repeat what was passed on, if it ignores where the stream has to go on. */
    private Optional<String> idleDefect() {
        boolean idle = idleBytes > MAX_IDLE_BYTES || repeatedBytes > MAX_IDLE_BYTES + newEventBytes;
        return idle ? IDLE : Optional.empty();
    }

    private boolean isNew(StreamEvent event) {
        return event.id() > lastId || (event.id() < 0 && !event.comment());
    }

    private boolean isRepeated(StreamEvent event) {
        return event.id() >= 0 && event.id() <= lastId;
    }

    private void recordStep(long id) {
        if (lastId >= 0) {
            consecutive |= id == lastId + 1;
            gapSeen |= id > lastId + 1;
        }
    }

    /** Tells why an event cannot belong to the stream behind the last event. */
    private Optional<String> defect(StreamEvent event, boolean continuation) {
        if (event.responseHead()) {
            return Optional.of("head of another response inside the stream");
        }
        if (!continuation || event.comment()) {
            return Optional.empty();
        }
        if (!event.content()) {
            return Optional.of("bytes that are no event");
        }
        if (lastId >= 0 && event.id() < 0) {
            return Optional.of("event without an id in a resumed stream");
        }
        boolean gap = consecutive && !gapSeen && event.id() > lastId + 1;
        return gap
                ? Optional.of("event " + event.id() + " after event " + lastId)
                : Optional.empty();
    }

    private void flush(Buffer completeEvents, int from, int to) {
        if (to > from) {
            events.accept(
                    from == 0 && to == completeEvents.length()
                            ? completeEvents
                            : completeEvents.getBuffer(from, to));
        }
    }

    private boolean goesOn(StreamEvent event) {
        return isNew(event) && (event.id() >= 0 || lastId < 0);
    }

    /**
     * Examines the events that have been completed since the last call for the same bytes.
     *
     * @param keptBack all bytes of an attempt behind the last event that was passed on
     * @param continuation true if another attempt began the stream
     * @return whether the attempt can go on with the stream
     */
    Contribution examine(KeptBackStream keptBack, boolean continuation) {
        for (Optional<StreamEvent> event = keptBack.nextEvent();
                event.isPresent();
                event = keptBack.nextEvent()) {
            Optional<String> found = defect(event.get(), continuation);
            if (found.isPresent() || goesOn(event.get())) {
                return new Contribution(found.isEmpty(), found);
            }
        }
        if (keptBack.eventBytes() > MAX_IDLE_BYTES + newEventBytes) {
            return new Contribution(false, IDLE);
        }
        boolean tooLarge = keptBack.bytes().length() > MAX_EVENT_BYTES;
        return new Contribution(false, tooLarge ? TOO_LARGE : Optional.empty());
    }

    private int endOfLastEvent() {
        int last = 0;
        for (int end = boundaries.nextEnd(pending); end > 0; end = boundaries.nextEnd(pending)) {
            last = end;
        }
        return last;
    }

    /**
     * Tells whether a stream that ends with these bytes ends inside an event: in a line that is not
     * complete, or behind lines of an event without the blank line that ends it.
     *
     * @param rest bytes behind the last complete event
     * @return false if the bytes are complete comments and blank lines
     */
    static boolean endsInsideEvent(Buffer rest) {
        byte[] lines = rest.getBytes();
        boolean lineIncomplete =
                lines.length > 0
                        && lines[lines.length - 1] != '\n'
                        && !(lines.length == 1 && lines[0] == '\r');
        return lineIncomplete || !StreamEvent.read(lines, 0, lines.length).comment();
    }

    /**
     * What an attempt can add to the stream. Immutable.
     *
     * @param newEvent true if it has a complete event that has not been passed on
     * @param defect why the attempt has to be abandoned, empty if there is no reason
     */
    record Contribution(boolean newEvent, Optional<String> defect) {}
}
