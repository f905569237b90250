package io.vanillapoint.api.model;

/**
 * An IP address with a port. Immutable.
 *
 * @param host IP address; host names are not resolved
 * @param port TCP port from 1 to 65,535
 */
public record Endpoint(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Longest host name of the DNS. */
    private static final int MAX_HOST_LENGTH = 253;

    private static final String HOST_PUNCTUATION = ".-_:[]%";

    /** Checks the invariant. */
    public Endpoint {
        Ids.requireName(host, "host");
        if (host.length() > MAX_HOST_LENGTH || !host.chars().allMatch(Endpoint::isHostCharacter)) {
            throw new IllegalArgumentException("expected an IP address or a host name");
        }
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("expected a port from 1 to " + MAX_PORT);
        }
    }

    /**
     * Parses {@code host:port}.
     *
     * @param text text to parse
     * @return the endpoint
     * @throws IllegalArgumentException if the text has another form
     */
    public static Endpoint parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("expected host:port, got '" + text + "'");
        }
        String port = text.substring(colon + 1);
        if (port.startsWith("+")) {
            throw new IllegalArgumentException("expected host:port, got '" + text + "'");
        }
        try {
            return new Endpoint(text.substring(0, colon), Integer.parseInt(port));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("expected host:port, got '" + text + "'", e);
        }
    }

    private static boolean isHostCharacter(int character) {
        return character >= 'a' && character <= 'z'
                || character >= 'A' && character <= 'Z'
                || character >= '0' && character <= '9'
                || HOST_PUNCTUATION.indexOf(character) >= 0;
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
