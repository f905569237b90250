package io.vanillapoint.http;

import java.io.IOException;

/** Thrown if the bytes of a connection are no well-formed response. Immutable. */
public final class MalformedResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message part of the response and what is wrong with it
     */
    public MalformedResponseException(String message) {
        super(message);
    }
}
