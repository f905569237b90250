package io.vanillapoint.entry.traffic;

/**
 * What the lines of one event of a stream say. Immutable.
 *
 * @param length number of bytes
 * @param id value of the first id line, negative if there is none or it is no whole number
 * @param comment true if the event has comments and blank lines only
 * @param content true if a line has data, a type or a retry time
 * @param data true if a line has data, so that a reader is told of the event
 * @param responseHead true if it contains the head of another response
 */
record StreamEvent(
        int length, long id, boolean comment, boolean content, boolean data, boolean responseHead) {
    private static final String ID_FIELD = "id:";
    private static final String DATA_FIELD = "data";
    private static final String[] CONTENT_FIELDS = {"data:", "event:", "retry:"};
    private static final int MAX_ID_DIGITS = 18;
    private static final String HTTP_VERSION = "HTTP/1.";

    private static final int STATUS_DIGITS = 3;

    /** Starts of the lines that belong to a stream. */
    private static final String[] STREAM_LINES = {"data:", "event:", "retry:", "id:", ":"};

    /** Reads an event without creating text, since a stream may have many small ones. */
    static StreamEvent read(byte[] bytes, int from, int to) {
        long id = -1;
        boolean idFound = false;
        boolean comment = true;
        boolean content = false;
        boolean data = false;
        int start = from;
        while (start < to) {
            int end = endOfLine(bytes, start, to);
            if (end > start && bytes[start] != ':') {
                comment = false;
                data |= startsWith(bytes, start, end, DATA_FIELD);
                content |= isContent(bytes, start, end);
                if (!idFound && startsWith(bytes, start, end, ID_FIELD)) {
                    idFound = true;
                    id = number(bytes, start + ID_FIELD.length(), end);
                }
            }
            start = end + 1;
        }
        return new StreamEvent(
                to - from, id, comment, content, data, containsResponseHead(bytes, from, to));
    }

    /**
     * Tells whether a status line stands anywhere, even inside a line, and the next line is a
     * header.
     */
    private static boolean containsResponseHead(byte[] bytes, int from, int to) {
        int position = from;
        while (position < to) {
            if (!isStatusLine(bytes, position, to)) {
                position++;
                continue;
            }
            int end = endOfLine(bytes, position, to);
            int next = afterLineEnd(bytes, end, to);
            if (next > end && !isStreamLine(bytes, next, to)) {
                return true;
            }
            // Another status line before the end would be followed by the same line.
            position = end;
        }
        return false;
    }

    private static boolean isStatusLine(byte[] bytes, int from, int to) {
        int digits = from + HTTP_VERSION.length() + 2;
        if (bytes[from] != 'H'
                || to - digits < STATUS_DIGITS
                || !startsWith(bytes, from, to, HTTP_VERSION)
                || (bytes[digits - 2] != '0' && bytes[digits - 2] != '1')
                || bytes[digits - 1] != ' ') {
            return false;
        }
        for (int i = digits; i < digits + STATUS_DIGITS; i++) {
            if (bytes[i] < '0' || bytes[i] > '9') {
                return false;
            }
        }
        return true;
    }

    /** Start of the next line if one ends here with a line feed, the same position otherwise. */
    private static int afterLineEnd(byte[] bytes, int end, int to) {
        int lineFeed = end < to && bytes[end] == '\r' ? end + 1 : end;
        return lineFeed < to && bytes[lineFeed] == '\n' ? lineFeed + 1 : end;
    }

    private static boolean isStreamLine(byte[] bytes, int from, int to) {
        if (afterLineEnd(bytes, from, to) > from) {
            return true;
        }
        for (String start : STREAM_LINES) {
            if (startsWith(bytes, from, to, start)) {
                return true;
            }
        }
        return false;
    }

    private static int endOfLine(byte[] bytes, int from, int to) {
        int end = from;
        while (end < to && bytes[end] != '\n' && bytes[end] != '\r') {
            end++;
        }
        return end;
    }

    private static boolean isContent(byte[] bytes, int from, int to) {
        for (String field : CONTENT_FIELDS) {
            if (startsWith(bytes, from, to, field)) {
                return true;
            }
        }
        return false;
    }

    private static boolean startsWith(byte[] bytes, int from, int to, String prefix) {
        if (to - from < prefix.length()) {
            return false;
        }
        for (int i = 0; i < prefix.length(); i++) {
            if (bytes[from + i] != prefix.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private static long number(byte[] bytes, int from, int to) {
        int start = from;
        int end = to;
        while (start < end && isBlank(bytes[start])) {
            start++;
        }
        while (end > start && isBlank(bytes[end - 1])) {
            end--;
        }
        if (start == end || end - start > MAX_ID_DIGITS) {
            return -1;
        }
        long number = 0;
        for (int i = start; i < end; i++) {
            if (bytes[i] < '0' || bytes[i] > '9') {
                return -1;
            }
            number = number * 10 + bytes[i] - '0';
        }
        return number;
    }

    private static boolean isBlank(byte value) {
        return value == ' ' || value == '\t';
    }
}
