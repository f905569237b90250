package io.vanillapoint.http;

import io.netty.buffer.ByteBuf;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/**
 * Follows the responses on a connection byte by byte, and rejects what is malformed or costs too
 * much before it is read: the only place that decides what a well-formed, complete response is.
 *
 * <p>Invariants: no byte behind a defect is accepted; what is kept is bounded by one line; parts of
 * a response that carry no content are bounded. Confined to one event loop.
 */
final class ResponseParser {
    /** Longest status line or size of a chunk, in bytes; the HTTP library's limit. */
    static final int MAX_LINE_BYTES = 4_096;

    /** Largest sum of the field lines of a head or a trailer, in bytes; the library's limit. */
    static final int MAX_FIELD_BYTES = 8_192;

    /** Largest number of interim responses before a final one. */
    static final int MAX_INTERIM_RESPONSES = 32;

    /** Framing of chunks that a body may have beside {@link #FRAMING_FACTOR}, in bytes. */
    static final long FRAMING_ALLOWANCE_BYTES = 256 * 1_024;

    /** Largest ratio of framing to content; chunks of a few bytes have less. */
    static final int FRAMING_FACTOR = 2;

    /** Line ends of a chunk's size and of its content. */
    private static final int LINE_END_BYTES = 4;

    private static final int INITIAL_LINE_BYTES = 256;
    private static final int MAX_SIZE_DIGITS = 15;
    private static final int HEXADECIMAL = 16;

    private final Deque<HttpMethod> requests = new ArrayDeque<>();
    private byte[] line = new byte[INITIAL_LINE_BYTES];
    private int lineBytes;
    private Part part = Part.STATUS_LINE;
    private ResponseHead head;
    private long fieldBytes;
    private int interimResponses;
    private long remaining;
    private long contentBytes;
    private long framingBytes;

    /** Adds a request whose response follows those of the requests before. */
    void requestSent(HttpMethod method) {
        requests.add(method);
    }

    /** Tells whether no request waits for a response. */
    boolean idle() {
        return requests.isEmpty();
    }

    /** Tells whether the response ends with its connection. */
    boolean endsWithConnection() {
        return part == Part.BODY_TO_END;
    }

    /**
     * Accepts bytes of the connection.
     *
     * @param bytes bytes behind those accepted before; the reader index is moved behind the last
     *     byte that belongs to a response
     * @throws MalformedResponseException if what follows the reader index is no part of a response
     */
    void accept(ByteBuf bytes) throws MalformedResponseException {
        while (bytes.isReadable() && !idle()) {
            if (part.content) {
                acceptContent(bytes);
            } else {
                acceptLine(bytes);
            }
        }
    }

    private void acceptContent(ByteBuf bytes) {
        if (part == Part.BODY_TO_END) {
            bytes.skipBytes(bytes.readableBytes());
            return;
        }
        int count = (int) Math.min(remaining, bytes.readableBytes());
        bytes.skipBytes(count);
        remaining -= count;
        contentBytes += count;
        if (remaining == 0 && part == Part.CHUNK_DATA) {
            part = Part.CHUNK_END;
        } else if (remaining == 0) {
            endResponse();
        }
    }

    private void acceptLine(ByteBuf bytes) throws MalformedResponseException {
        int start = bytes.readerIndex();
        int end = bytes.indexOf(start, bytes.writerIndex(), (byte) '\n');
        int next = end < 0 ? bytes.writerIndex() : end + 1;
        int count = next - start;
        if (lineBytes + count > part.maxLineBytes) {
            throw new MalformedResponseException(part.text + ": line exceeds the size limit");
        }
        if (lineBytes + count > line.length) {
            line = Arrays.copyOf(line, Math.max(2 * line.length, lineBytes + count));
        }
        bytes.getBytes(start, line, lineBytes, count);
        lineBytes += count;
        checkBegin();
        if (end >= 0) {
            int length = lineBytes - 2;
            if (length < 0 || line[length] != '\r') {
                throw new MalformedResponseException(
                        part.text + ": line without a carriage return");
            }
            lineBytes = 0;
            endLine(length);
        }
        bytes.readerIndex(next);
    }

    /** Finds bytes that can't become a line without waiting for its end. */
    private void checkBegin() throws MalformedResponseException {
        if (part == Part.STATUS_LINE && line[0] != 'H') {
            throw new MalformedResponseException("status line: expected HTTP/1.0 or HTTP/1.1");
        }
        if (part == Part.CHUNK_END && line[0] != '\r') {
            throw new MalformedResponseException("chunk: longer than its size");
        }
    }

    private void endLine(int length) throws MalformedResponseException {
        switch (part) {
            case STATUS_LINE -> {
                head = new ResponseHead(line, length);
                fieldBytes = 0;
                part = Part.FIELD;
            }
            case FIELD -> {
                if (length > 0) {
                    countFieldBytes(length);
                    head.field(line, length);
                } else {
                    endHead();
                }
            }
            case CHUNK_SIZE -> endChunkSize(length);
            case CHUNK_END -> {
                if (length > 0) {
                    throw new MalformedResponseException("chunk: longer than its size");
                }
                part = Part.CHUNK_SIZE;
            }
            case TRAILER -> {
                if (length > 0) {
                    countFieldBytes(length);
                    ResponseHead.fieldName(line, length);
                } else {
                    endResponse();
                }
            }
            default -> throw new IllegalStateException(part + " has no lines");
        }
    }

    private void countFieldBytes(int length) throws MalformedResponseException {
        fieldBytes += length;
        if (fieldBytes > MAX_FIELD_BYTES) {
            throw new MalformedResponseException(part.text + ": fields exceed the size limit");
        }
    }

    private void endHead() throws MalformedResponseException {
        head.end();
        contentBytes = 0;
        framingBytes = 0;
        if (head.interim()) {
            if (++interimResponses > MAX_INTERIM_RESPONSES) {
                throw new MalformedResponseException("head: too many interim responses");
            }
            part = Part.STATUS_LINE;
        } else if (head.bodiless()
                || HttpMethod.HEAD.equals(requests.peek())
                || head.length() == 0) {
            endResponse();
        } else if (head.chunked()) {
            part = Part.CHUNK_SIZE;
        } else if (head.length() > 0) {
            remaining = head.length();
            part = Part.BODY_BY_LENGTH;
        } else {
            part = Part.BODY_TO_END;
        }
    }

    private void endChunkSize(int length) throws MalformedResponseException {
        framingBytes += length + LINE_END_BYTES;
        if (framingBytes > FRAMING_ALLOWANCE_BYTES + FRAMING_FACTOR * contentBytes) {
            throw new MalformedResponseException("chunk: too much framing for the content");
        }
        remaining = chunkSize(length);
        if (remaining > 0) {
            part = Part.CHUNK_DATA;
        } else {
            fieldBytes = 0;
            part = Part.TRAILER;
        }
    }

    private long chunkSize(int length) throws MalformedResponseException {
        long size = 0;
        int digits = 0;
        while (digits < length && Character.digit(line[digits], HEXADECIMAL) >= 0) {
            size = HEXADECIMAL * size + Character.digit(line[digits], HEXADECIMAL);
            digits++;
        }
        boolean extended = digits < length && line[digits] == ';';
        if (digits == 0 || digits > MAX_SIZE_DIGITS || !(digits == length || extended)) {
            throw new MalformedResponseException("chunk: expected a size in hexadecimal digits");
        }
        if (!HeadSyntax.isText(line, digits, length)) {
            throw new MalformedResponseException("chunk: control byte in an extension");
        }
        return size;
    }

    private void endResponse() {
        requests.poll();
        interimResponses = 0;
        part = Part.STATUS_LINE;
    }

    /** Parts of a response. */
    private enum Part {
        STATUS_LINE("status line", MAX_LINE_BYTES),
        FIELD("head", MAX_FIELD_BYTES),
        BODY_BY_LENGTH("body"),
        BODY_TO_END("body"),
        CHUNK_SIZE("chunk", MAX_LINE_BYTES),
        CHUNK_DATA("chunk"),
        CHUNK_END("chunk", MAX_LINE_BYTES),
        TRAILER("trailer", MAX_FIELD_BYTES);

        private final String text;
        private final boolean content;
        private final int maxLineBytes;

        /** A part that has content and no lines. */
        Part(String text) {
            this.text = text;
            content = true;
            maxLineBytes = 0;
        }

        Part(String text, int maxLineBytes) {
            this.text = text;
            content = false;
            this.maxLineBytes = maxLineBytes;
        }
    }
}
