package io.vanillapoint.entry.traffic;

import io.vertx.core.buffer.Buffer;

/**
 * Finds the ends of events, which are blank lines, in a buffer that grows.
 *
 * <p>Invariant: each byte is examined once, however the stream is divided into chunks. Confined to
 * one event loop.
 */
final class EventBoundaries {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';

    private int position;
    private boolean lineEmpty;

    /**
     * Continues behind the bytes that were examined last.
     *
     * @param bytes the bytes examined before, and what has arrived since
     * @return index after the next blank line, -1 if there is none
     */
    int nextEnd(Buffer bytes) {
        int length = bytes.length();
        while (position < length) {
            byte value = bytes.getByte(position++);
            if (value == LINE_FEED) {
                if (lineEmpty) {
                    lineEmpty = false;
                    return position;
                }
                lineEmpty = true;
            } else if (value != CARRIAGE_RETURN) {
                lineEmpty = false;
            }
        }
        return -1;
    }

    /** Adjusts the position to a buffer whose first bytes, all of them examined, were removed. */
    void removed(int bytes) {
        position -= bytes;
    }
}
