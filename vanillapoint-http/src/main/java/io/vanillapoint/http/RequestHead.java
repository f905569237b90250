package io.vanillapoint.http;

import java.nio.charset.StandardCharsets;

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

    /** Heads of usual size, whose lists are not counted. */
    private static final int USUAL_BYTES = 2_048;

    private static final int DECIMAL = 10;
    private static final int LOWER_CASE = 0x20;

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
        int end = endOfLine(0);
        firstVersion = isFirstVersion(end);
        for (int start = end + 2; start < bytes.length - 2; start = end + 2) {
            end = field(start);
            lines++;
        }
        if (end != bytes.length - 4 || !endsAt(end + 2) || chunked && firstVersion) {
            throw malformed();
        }
    }

    /** Finds the carriage return that ends a line of text. */
    private int endOfLine(int from) throws RefusedRequestException {
        int end = HeadSyntax.endOfText(bytes, from, bytes.length);
        if (!endsAt(end)) {
            throw malformed();
        }
        return end;
    }

    private boolean endsAt(int end) {
        return end + 1 < bytes.length && bytes[end] == '\r' && bytes[end + 1] == '\n';
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
                        && target < end;
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

    /** Checks a field line and returns its end. */
    private int field(int start) throws RefusedRequestException {
        int colon = HeadSyntax.endOfName(bytes, start, bytes.length);
        if (colon == start || bytes[colon] != ':') {
            throw malformed();
        }
        int end = endOfLine(colon + 1);
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
        return end;
    }

    /** Compares a field name, of whose symbols only letters differ in this bit. */
    private boolean isNamed(int start, int colon, String name) {
        if (colon - start != name.length()) {
            return false;
        }
        for (int i = 0; i < name.length(); i++) {
            if ((bytes[start + i] | LOWER_CASE) != name.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private static long length(String value) throws RefusedRequestException {
        if (value.isEmpty() || value.length() > MAX_LENGTH_DIGITS) {
            throw malformed();
        }
        long length = 0;
        for (int i = 0; i < value.length(); i++) {
            int digit = value.charAt(i) - '0';
            if (digit < 0 || digit >= DECIMAL) {
                throw malformed();
            }
            length = DECIMAL * length + digit;
        }
        return length;
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

    /** Number of commas, which separate the elements of lists; 0 for a head of usual size. */
    int listElements() {
        int commas = 0;
        if (bytes.length > USUAL_BYTES) {
            for (byte symbol : bytes) {
                commas += symbol == ',' ? 1 : 0;
            }
        }
        return commas;
    }

    boolean chunked() {
        return chunked;
    }

    /** Length of the body in bytes, 0 if the head states none. */
    long length() {
        return chunked ? 0 : Math.max(0, length);
    }
}
