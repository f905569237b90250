package io.vanillapoint.http;

import java.util.Arrays;

/**
 * Follows the requests on a connection byte by byte and refuses what is malformed or exceeds its
 * limit, before the HTTP library turns it into objects.
 *
 * <p>Invariants: of a request, only an unfinished head is kept, which is bounded; extensions of
 * chunks and trailers are checked and left out. Confined to one event loop.
 */
final class RequestParser {
    /** Longest request line or size line of a chunk, in bytes; the HTTP library's limit. */
    static final int MAX_LINE_BYTES = 4_096;

    /** Empty lines that are skipped before a request, in bytes. */
    static final int MAX_EMPTY_BYTES = 1_024;

    private static final int INITIAL_HEAD_BYTES = 1_024;
    private static final int MAX_SIZE_DIGITS = 15;
    private static final int HEXADECIMAL = 16;

    private Part part = Part.BEFORE_HEAD;
    private int maxFieldBytes;
    private byte[] head;
    private int headBytes;
    private int lineStart;
    private int fieldsStart;
    private RequestHead complete;
    private int emptyBytes;
    private long remaining;
    private long size;
    private int digits;
    private int lineBytes;
    private int trailerBytes;
    private boolean afterReturn;
    private int contentStart;
    private int contentEnd;

    /** Sets the largest sum of field lines of a head or trailer, in bytes. */
    void limitFields(int bytes) {
        maxFieldBytes = bytes;
    }

    /** Memory that an unfinished head takes, in bytes. */
    int keptBytes() {
        return head == null ? 0 : head.length;
    }

    /** Tells whether a request has begun that has not been read to its end. */
    boolean insideRequest() {
        return part != Part.BEFORE_HEAD;
    }

    /**
     * Tells whether none of the next bytes belongs to the framing of this request. Bytes behind a
     * body of a declared length do not count, since they are kept unread.
     */
    boolean onlyContentFollows(int bytes) {
        return part == Part.LENGTH || part == Part.CHUNK_DATA && remaining >= bytes;
    }

    /** The head that {@link Event#HEAD} has announced. */
    RequestHead head() {
        return complete;
    }

    /** Index of the first byte of the content that {@link Event#CONTENT} has announced. */
    int contentStart() {
        return contentStart;
    }

    /** Index behind the last byte of that content. */
    int contentEnd() {
        return contentEnd;
    }

    /**
     * Reads up to the next event.
     *
     * @param input bytes behind those read before
     * @param reader place in the input, moved behind what was read
     * @return the event, {@link Event#NONE} if the input ends before it
     */
    Event next(byte[] input, Cursor reader) throws RefusedRequestException {
        Event event = Event.NONE;
        while (event == Event.NONE && reader.hasMore()) {
            event =
                    switch (part) {
                        case BEFORE_HEAD -> beforeHead(input, reader);
                        case HEAD -> head(input, reader);
                        case LENGTH, CHUNK_DATA -> content(reader);
                        case CHUNK_SIZE -> chunkSize(input[reader.at++]);
                        case CHUNK_EXTENSION -> chunkExtension(input[reader.at++]);
                        case CHUNK_END -> chunkEnd(input[reader.at++]);
                        case TRAILER -> trailer(input[reader.at++]);
                    };
        }
        return event;
    }

    private Event beforeHead(byte[] input, Cursor reader) throws RefusedRequestException {
        byte first = input[reader.at];
        if (first != '\r' && first != '\n') {
            part = Part.HEAD;
            headBytes = 0;
            lineStart = 0;
            fieldsStart = -1;
            return Event.NONE;
        }
        reader.at++;
        if (++emptyBytes > MAX_EMPTY_BYTES) {
            throw new RefusedRequestException(RequestRefusal.MALFORMED_HEAD);
        }
        return Event.NONE;
    }

    /** Appends to the head as far as it goes, and finds the empty line that ends it. */
    private Event head(byte[] input, Cursor reader) throws RefusedRequestException {
        int start = reader.at;
        int offset = headBytes - start;
        for (int i = start; i < reader.end; i++) {
            if (input[i] != '\n') {
                continue;
            }
            int line = i + offset - lineStart;
            if (line == 0 || line == 1 && byteAt(input, start, i - 1) == '\r') {
                checkSize(i + offset);
                reader.at = i + 1;
                return endHead(input, start, i + 1);
            }
            lineStart = i + offset + 1;
            fieldsStart = fieldsStart < 0 ? lineStart : fieldsStart;
        }
        checkSize(reader.end + offset);
        append(input, start, reader.end);
        reader.at = reader.end;
        return Event.NONE;
    }

    private byte byteAt(byte[] input, int start, int index) {
        return index >= start ? input[index] : head[headBytes - 1];
    }

    private void checkSize(int bytes) throws RefusedRequestException {
        int requestLine = fieldsStart < 0 ? bytes : fieldsStart;
        if (requestLine > MAX_LINE_BYTES) {
            throw new RefusedRequestException(RequestRefusal.REQUEST_LINE_TOO_LONG);
        }
        if (bytes - requestLine > maxFieldBytes) {
            throw new RefusedRequestException(RequestRefusal.HEAD_TOO_LARGE);
        }
    }

    private void append(byte[] input, int from, int to) {
        int total = headBytes + to - from;
        if (head == null) {
            head = new byte[Math.max(INITIAL_HEAD_BYTES, total)];
        } else if (total > head.length) {
            head = Arrays.copyOf(head, Math.max(2 * head.length, total));
        }
        System.arraycopy(input, from, head, headBytes, to - from);
        headBytes = total;
    }

    private Event endHead(byte[] input, int from, int to) throws RefusedRequestException {
        if (head == null) {
            complete = new RequestHead(Arrays.copyOfRange(input, from, to));
        } else {
            append(input, from, to);
            complete = new RequestHead(Arrays.copyOf(head, headBytes));
            head = null;
        }
        if (complete.chunked()) {
            beginChunk();
        } else {
            remaining = complete.length();
            part = Part.LENGTH;
        }
        return Event.HEAD;
    }

    /**
     * Ends a request whose body has no further byte. Called after each event, since no byte follows
     * that would tell.
     *
     * @return true if the request has ended
     */
    boolean endsWithoutFurtherByte() {
        boolean ends = part == Part.LENGTH && remaining == 0;
        if (ends) {
            endRequest();
        }
        return ends;
    }

    private Event content(Cursor reader) {
        contentStart = reader.at;
        contentEnd = (int) Math.min(reader.end, reader.at + remaining);
        reader.at = contentEnd;
        remaining -= contentEnd - contentStart;
        if (remaining == 0 && part == Part.CHUNK_DATA) {
            part = Part.CHUNK_END;
            afterReturn = false;
        }
        return Event.CONTENT;
    }

    private void beginChunk() {
        part = Part.CHUNK_SIZE;
        size = 0;
        digits = 0;
        lineBytes = 0;
        afterReturn = false;
    }

    private Event chunkSize(byte symbol) throws RefusedRequestException {
        int digit = Character.digit(symbol, HEXADECIMAL);
        if (digit >= 0 && !afterReturn) {
            size = HEXADECIMAL * size + digit;
            if (++digits > MAX_SIZE_DIGITS) {
                throw malformedBody();
            }
        } else if (symbol == ';' && digits > 0 && !afterReturn) {
            part = Part.CHUNK_EXTENSION;
        } else if (symbol == '\r' && digits > 0 && !afterReturn) {
            afterReturn = true;
        } else if (symbol == '\n' && afterReturn) {
            endChunkSize();
        } else {
            throw malformedBody();
        }
        return Event.NONE;
    }

    private Event chunkExtension(byte symbol) throws RefusedRequestException {
        if (symbol == '\n' && afterReturn) {
            endChunkSize();
        } else if (symbol == '\r' && !afterReturn) {
            afterReturn = true;
        } else if (afterReturn || !HeadSyntax.isText(symbol) || ++lineBytes > MAX_LINE_BYTES) {
            throw malformedBody();
        }
        return Event.NONE;
    }

    private void endChunkSize() {
        if (size > 0) {
            remaining = size;
            part = Part.CHUNK_DATA;
        } else {
            part = Part.TRAILER;
            lineBytes = 0;
            trailerBytes = 0;
            afterReturn = false;
        }
    }

    private Event chunkEnd(byte symbol) throws RefusedRequestException {
        if (symbol == '\r' && !afterReturn) {
            afterReturn = true;
        } else if (symbol == '\n' && afterReturn) {
            beginChunk();
        } else {
            throw malformedBody();
        }
        return Event.NONE;
    }

    private Event trailer(byte symbol) throws RefusedRequestException {
        if (++trailerBytes > maxFieldBytes) {
            throw new RefusedRequestException(RequestRefusal.HEAD_TOO_LARGE);
        }
        if (symbol == '\n' && afterReturn) {
            if (lineBytes == 0) {
                return endRequest();
            }
            lineBytes = 0;
            afterReturn = false;
        } else if (symbol == '\r' && !afterReturn) {
            afterReturn = true;
        } else if (afterReturn || !HeadSyntax.isText(symbol)) {
            throw malformedBody();
        } else {
            lineBytes++;
        }
        return Event.NONE;
    }

    private Event endRequest() {
        reset();
        return Event.END;
    }

    /** Forgets the request. */
    void reset() {
        part = Part.BEFORE_HEAD;
        emptyBytes = 0;
        head = null;
        complete = null;
    }

    private static RefusedRequestException malformedBody() {
        return new RefusedRequestException(RequestRefusal.MALFORMED_BODY);
    }

    /** What has been read. */
    enum Event {
        /** Nothing that is complete. */
        NONE,
        /** The head of a request. */
        HEAD,
        /** A part of its content. */
        CONTENT,
        /** The end of the request. */
        END
    }

    /** Parts of a request. */
    private enum Part {
        BEFORE_HEAD,
        HEAD,
        LENGTH,
        CHUNK_SIZE,
        CHUNK_EXTENSION,
        CHUNK_DATA,
        CHUNK_END,
        TRAILER
    }

    /** Place in an input. Confined to one event loop. */
    static final class Cursor {
        private int at;
        private int end;

        /** Moves to a range. */
        Cursor move(int from, int to) {
            at = from;
            end = to;
            return this;
        }

        int at() {
            return at;
        }

        boolean hasMore() {
            return at < end;
        }
    }
}
