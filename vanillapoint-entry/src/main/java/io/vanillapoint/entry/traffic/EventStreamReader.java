package io.vanillapoint.entry.traffic;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Splits an event stream into complete events, so that the bytes passed on never end inside one.
 *
 * <p>Invariant: bytes are passed on unchanged and in order; events that an earlier attempt has
 * already delivered are skipped by their id. Confined to one event loop.
 */
final class EventStreamReader {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String COMMENT = ":";
    private static final String ID_FIELD = "id:";

    /** Largest event that is buffered, in bytes; events of engines have a few hundred. */
    static final int MAX_EVENT_BYTES = 256 * 1_024;

    private final Consumer<Buffer> events;
    private Buffer pending = Buffer.buffer();
    private int scanned;
    private long lastId = -1;
    private long eventCount;

    EventStreamReader(Consumer<Buffer> events) {
        this.events = events;
    }

    /**
     * Reads bytes of the current attempt's response.
     *
     * @return false if an event exceeds the size limit, so that the attempt has to be abandoned
     */
    boolean read(Buffer data) {
        pending.appendBuffer(data);
        int end = endOfLastEvent();
        if (end > 0) {
            Buffer completeEvents = pending.getBuffer(0, end);
            pending = pending.getBuffer(end, pending.length());
            scanned = 0;
            deliver(completeEvents);
        }
        return pending.length() <= MAX_EVENT_BYTES;
    }

    /** Discards a partial event before another attempt resumes the stream. */
    void restart() {
        pending = Buffer.buffer();
        scanned = 0;
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

    private void deliver(Buffer completeEvents) {
        int start = 0;
        int flushFrom = 0;
        for (int end = endOfNextEvent(completeEvents, 0);
                end > 0;
                end = endOfNextEvent(completeEvents, start)) {
            String event = completeEvents.getString(start, end);
            long id = idOf(event);
            if (id > lastId || (id < 0 && !isComment(event))) {
                eventCount++;
            }
            if (id >= 0 && id <= lastId) {
                flush(completeEvents, flushFrom, start);
                flushFrom = end;
            } else if (id >= 0) {
                lastId = id;
            }
            start = end;
        }
        flush(completeEvents, flushFrom, completeEvents.length());
    }

    private void flush(Buffer completeEvents, int from, int to) {
        if (to > from) {
            events.accept(
                    from == 0 && to == completeEvents.length()
                            ? completeEvents
                            : completeEvents.getBuffer(from, to));
        }
    }

    /** Tells whether bytes contain a complete event that is more than a comment. */
    static boolean containsEvent(Buffer bytes) {
        int start = 0;
        for (int end = endOfNextEvent(bytes, 0); end > 0; end = endOfNextEvent(bytes, start)) {
            if (!isComment(bytes.getString(start, end))) {
                return true;
            }
            start = end;
        }
        return false;
    }

    /** Index after the last blank line, 0 if there is none. */
    private int endOfLastEvent() {
        int end = 0;
        int from = Math.max(0, scanned - 3);
        for (int next = endOfNextEvent(pending, from);
                next > 0;
                next = endOfNextEvent(pending, next)) {
            end = next;
        }
        scanned = pending.length();
        return end;
    }

    private static int endOfNextEvent(Buffer bytes, int from) {
        boolean lineEmpty = false;
        for (int i = from; i < bytes.length(); i++) {
            byte value = bytes.getByte(i);
            if (value == LINE_FEED) {
                if (lineEmpty) {
                    return i + 1;
                }
                lineEmpty = true;
            } else if (value != CARRIAGE_RETURN) {
                lineEmpty = false;
            }
        }
        return -1;
    }

    private static boolean isComment(String event) {
        return event.lines().allMatch(line -> line.isEmpty() || line.startsWith(COMMENT));
    }

    private static long idOf(String event) {
        return event.lines()
                .filter(line -> line.startsWith(ID_FIELD))
                .mapToLong(line -> parseId(line.substring(ID_FIELD.length()).strip()))
                .findFirst()
                .orElse(-1);
    }

    private static long parseId(String text) {
        byte[] digits = text.getBytes(StandardCharsets.US_ASCII);
        if (digits.length == 0 || digits.length > 18) {
            return -1;
        }
        long number = 0;
        for (byte digit : digits) {
            if (digit < '0' || digit > '9') {
                return -1;
            }
            number = number * 10 + digit - '0';
        }
        return number;
    }
}
