package io.vanillapoint.http;

/** Bytes that may stand in the lines of a head, by RFC 9110 and 9112. Stateless. */
final class HeadSyntax {
    private static final String NAME_SYMBOLS = "!#$%&'*+-.^_`|~";

    private HeadSyntax() {}

    /** Letters, digits and the symbols of a token. */
    static boolean isNameSymbol(byte symbol) {
        return (symbol >= 'a' && symbol <= 'z')
                || (symbol >= 'A' && symbol <= 'Z')
                || (symbol >= '0' && symbol <= '9')
                || NAME_SYMBOLS.indexOf(symbol) >= 0;
    }

    /** Visible characters, spaces, tabs and bytes beyond ASCII. */
    static boolean isText(byte symbol) {
        return symbol < 0 || (symbol >= ' ' && symbol < 0x7f) || symbol == '\t';
    }

    /** Tells whether all bytes of a range are text. */
    static boolean isText(byte[] bytes, int from, int to) {
        for (int i = from; i < to; i++) {
            if (!isText(bytes[i])) {
                return false;
            }
        }
        return true;
    }

    /** Finds the first byte of a range that can't be part of a name. */
    static int endOfName(byte[] bytes, int from, int to) {
        int end = from;
        while (end < to && isNameSymbol(bytes[end])) {
            end++;
        }
        return end;
    }
}
