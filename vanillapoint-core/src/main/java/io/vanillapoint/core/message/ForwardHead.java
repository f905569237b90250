package io.vanillapoint.core.message;

import java.util.List;

/**
 * Status and headers of the response to a {@link ForwardRequest}. Immutable.
 *
 * @param stream id of the exchange on this connection, chosen by the requester
 * @param status HTTP status
 * @param headers headers for the caller
 */
public record ForwardHead(long stream, int status, List<HeaderField> headers)
        implements PeerMessage {
    /** Copies the headers. */
    public ForwardHead {
        headers = List.copyOf(headers);
    }
}
