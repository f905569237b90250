package io.vanillapoint.http;

/** Bytes that may stand in the lines of a head, by RFC 9110 and 9112. Stateless. */
final class HeadSyntax {
    private static final String NAME_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final int BYTES = 256;
    private static final byte NAME = 1;
    private static final byte TEXT = 2;

    /** Classes of each byte value. */
    private static final byte[] CLASSES = classes();

    private HeadSyntax() {}

    private static byte[] classes() {
        byte[] classes = new byte[BYTES];
        for (int symbol = 0; symbol < BYTES; symbol++) {
            boolean name =
                    (symbol >= 'a' && symbol <= 'z')
                            || (symbol >= 'A' && symbol <= 'Z')
                            || (symbol >= '0' && symbol <= '9')
                            || NAME_SYMBOLS.indexOf(symbol) >= 0;
            boolean text = symbol >= ' ' && symbol != 0x7f || symbol == '\t';
            classes[symbol] = (byte) ((name ? NAME : 0) | (text ? TEXT : 0));
        }
        return classes;
    }

    /** Visible characters, spaces, tabs and bytes beyond ASCII. */
    static boolean isText(byte symbol) {
        return (CLASSES[symbol & 0xff] & TEXT) != 0;
    }

    /** Finds the first byte of a range that can't be part of a name: a letter, digit or symbol. */
    static int endOfName(byte[] bytes, int from, int to) {
        int end = from;
        while (end < to && (CLASSES[bytes[end] & 0xff] & NAME) != 0) {
            end++;
        }
        return end;
    }

    /** Finds the first byte of a range that is no text. */
    static int endOfText(byte[] bytes, int from, int to) {
        int end = from;
        while (end < to && (CLASSES[bytes[end] & 0xff] & TEXT) != 0) {
            end++;
        }
        return end;
    }

    /** Tells whether all bytes of a range are text. */
    static boolean isText(byte[] bytes, int from, int to) {
        return endOfText(bytes, from, to) >= to;
    }
}
