package io.vanillapoint.http;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/**
 * Checks the lines of a response's head and derives how its body is delimited, by RFC 9112.
 *
 * <p>Invariant: a head has one framing at most. Confined to one event loop.
 */
final class ResponseHead {
    private static final String VERSION_1_0 = "HTTP/1.0 ";
    private static final String VERSION_1_1 = "HTTP/1.1 ";
    private static final int STATUS_DIGITS = 3;
    private static final int FIRST_STATUS = 100;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int MAX_LENGTH_DIGITS = 18;

    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final String CHUNKED = "chunked";

    /** Fields whose value is no list, so that a second line contradicts the first. */
    private static final Set<String> SINGLE_FIELDS =
            Set.of(
                    "age",
                    CONTENT_LENGTH,
                    "content-location",
                    "content-range",
                    "content-type",
                    "date",
                    "etag",
                    "expires",
                    "last-modified",
                    "location",
                    "retry-after",
                    "server",
                    TRANSFER_ENCODING);

    private final boolean firstVersion;
    private final int status;
    private final Set<String> singleFields = new HashSet<>();
    private long length = -1;
    private boolean chunked;

    /** Creates a head from its first line. */
    ResponseHead(byte[] line, int bytes) throws MalformedResponseException {
        String text = text(line, 0, bytes);
        firstVersion = text.startsWith(VERSION_1_0);
        if (!firstVersion && !text.startsWith(VERSION_1_1)) {
            throw new MalformedResponseException("status line: expected HTTP/1.0 or HTTP/1.1");
        }
        status = status(text);
        if (!HeadSyntax.isText(line, VERSION_1_1.length() + STATUS_DIGITS, bytes)) {
            throw new MalformedResponseException("status line: control byte in the reason");
        }
    }

    private static int status(String line) throws MalformedResponseException {
        int start = VERSION_1_1.length();
        int end = start + STATUS_DIGITS;
        boolean separated =
                line.length() == end || (line.length() > end && line.charAt(end) == ' ');
        int number = separated ? digits(line.substring(start, end)) : -1;
        if (number < FIRST_STATUS || number == SWITCHING_PROTOCOLS) {
            throw new MalformedResponseException("status line: expected a status from 100 to 999");
        }
        return number;
    }

    private static int digits(String text) {
        int number = 0;
        for (int i = 0; i < text.length(); i++) {
            char digit = text.charAt(i);
            if (digit < '0' || digit > '9') {
                return -1;
            }
            number = 10 * number + digit - '0';
        }
        return number;
    }

    /** Adds a field line. */
    void field(byte[] line, int bytes) throws MalformedResponseException {
        String name = fieldName(line, bytes);
        if (SINGLE_FIELDS.contains(name) && !singleFields.add(name)) {
            throw new MalformedResponseException("field " + name + ": present twice");
        }
        if (name.equals(CONTENT_LENGTH)) {
            length = length(value(line, bytes, name));
        } else if (name.equals(TRANSFER_ENCODING)) {
            if (!value(line, bytes, name).equalsIgnoreCase(CHUNKED)) {
                throw new MalformedResponseException("field " + name + ": expected chunked");
            }
            chunked = true;
        }
    }

    /**
     * Checks a field line of a head or a trailer.
     *
     * @return the name in lower case
     */
    static String fieldName(byte[] line, int bytes) throws MalformedResponseException {
        int colon = HeadSyntax.endOfName(line, 0, bytes);
        if (colon == 0 || colon == bytes || line[colon] != ':') {
            throw new MalformedResponseException("field line: expected a name and a colon");
        }
        if (!HeadSyntax.isText(line, colon + 1, bytes)) {
            throw new MalformedResponseException("field line: control byte in the value");
        }
        return text(line, 0, colon).toLowerCase(Locale.ROOT);
    }

    private static String value(byte[] line, int bytes, String name) {
        return text(line, name.length() + 1, bytes).strip();
    }

    private static long length(String value) throws MalformedResponseException {
        boolean number =
                !value.isEmpty()
                        && value.length() <= MAX_LENGTH_DIGITS
                        && value.chars().allMatch(digit -> digit >= '0' && digit <= '9');
        if (!number) {
            throw new MalformedResponseException("field content-length: expected a whole number");
        }
        return Long.parseLong(value);
    }

    /** Checks the head as a whole, once its last line has been added. */
    void end() throws MalformedResponseException {
        if (chunked && length >= 0) {
            throw new MalformedResponseException("head: both a length and chunks");
        }
        if (chunked && firstVersion) {
            throw new MalformedResponseException("head: chunks in a response of HTTP/1.0");
        }
    }

    /** Tells whether another response to the same request follows. */
    boolean interim() {
        return status < FIRST_FINAL_STATUS;
    }

    /** Tells whether no body follows, whatever the fields state. */
    boolean bodiless() {
        return interim() || status == NO_CONTENT || status == NOT_MODIFIED;
    }

    boolean chunked() {
        return chunked;
    }

    /** Length of the body in bytes, negative if the head states none. */
    long length() {
        return length;
    }

    private static String text(byte[] line, int from, int to) {
        return new String(line, from, to - from, StandardCharsets.ISO_8859_1);
    }
}
