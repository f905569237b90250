package io.vanillapoint.http;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Checks the head of a request as a whole and derives how its body is delimited, by RFC 9112.
 *
 * <p>A head with both chunks and a length counts as chunked, as the HTTP library reads it; who
 * serves such a request reads no other one behind it. Immutable.
 */
final class RequestHead {
    private static final String VERSION_1_0 = "HTTP/1.0";
    private static final String VERSION_1_1 = "HTTP/1.1";
    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final String CHUNKED = "chunked";
    private static final int MAX_LENGTH_DIGITS = 18;

    private final byte[] bytes;
    private final boolean firstVersion;
    private int lines;
    private boolean chunked;
    private long length = -1;

    /**
     * Checks a head.
     *
     * @param bytes request line, field lines and the empty line behind them
     */
    RequestHead(byte[] bytes) throws RefusedRequestException {
        this.bytes = bytes;
        int start = 0;
        int end = endOfLine(start);
        firstVersion = isFirstVersion(end);
        for (start = end + 2; start < bytes.length - 2; start = end + 2) {
            end = endOfLine(start);
            field(start, end);
            lines++;
        }
        if (chunked && firstVersion) {
            throw malformed();
        }
    }

    /** Finds the carriage return that ends a line. */
    private int endOfLine(int start) throws RefusedRequestException {
        int end = start;
        while (bytes[end] != '\n') {
            end++;
        }
        if (end == start || bytes[end - 1] != '\r') {
            throw malformed();
        }
        return end - 1;
    }

    /** Checks the request line. */
    private boolean isFirstVersion(int end) throws RefusedRequestException {
        int method = HeadSyntax.endOfName(bytes, 0, end);
        int target = method + 1;
        while (target < end && bytes[target] != ' ') {
            target++;
        }
        boolean complete =
                method > 0
                        && method < end
                        && bytes[method] == ' '
                        && target > method + 1
                        && target < end
                        && HeadSyntax.isText(bytes, method, target);
        if (!complete) {
            throw malformed();
        }
        String version = text(target + 1, end);
        if (version.indexOf(' ') >= 0) {
            throw malformed();
        }
        if (!version.equals(VERSION_1_0) && !version.equals(VERSION_1_1)) {
            throw new RefusedRequestException(RequestRefusal.UNKNOWN_VERSION);
        }
        return version.equals(VERSION_1_0);
    }

    private void field(int start, int end) throws RefusedRequestException {
        int colon = HeadSyntax.endOfName(bytes, start, end);
        if (colon == start
                || colon == end
                || bytes[colon] != ':'
                || !HeadSyntax.isText(bytes, colon + 1, end)) {
            throw malformed();
        }
        if (isNamed(start, colon, CONTENT_LENGTH)) {
            if (length >= 0) {
                throw malformed();
            }
            length = length(text(colon + 1, end).strip());
        } else if (isNamed(start, colon, TRANSFER_ENCODING)) {
            if (chunked || !text(colon + 1, end).strip().equalsIgnoreCase(CHUNKED)) {
                throw malformed();
            }
            chunked = true;
        }
    }

    private boolean isNamed(int start, int colon, String name) {
        return colon - start == name.length()
                && text(start, colon).toLowerCase(Locale.ROOT).equals(name);
    }

    private static long length(String value) throws RefusedRequestException {
        boolean number =
                !value.isEmpty()
                        && value.length() <= MAX_LENGTH_DIGITS
                        && value.chars().allMatch(digit -> digit >= '0' && digit <= '9');
        if (!number) {
            throw malformed();
        }
        return Long.parseLong(value);
    }

    private static RefusedRequestException malformed() {
        return new RefusedRequestException(RequestRefusal.MALFORMED_HEAD);
    }

    private String text(int from, int to) {
        return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
    }

    /** All bytes of the head. */
    byte[] bytes() {
        return bytes;
    }

    /** Number of field lines. */
    int lines() {
        return lines;
    }

    boolean chunked() {
        return chunked;
    }

    /** Length of the body in bytes, 0 if the head states none. */
    long length() {
        return chunked ? 0 : Math.max(0, length);
    }
}
