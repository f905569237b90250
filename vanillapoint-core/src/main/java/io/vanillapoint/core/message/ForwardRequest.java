package io.vanillapoint.core.message;

import io.vanillapoint.api.model.CustomerId;
import java.util.List;

/**
 * Forwards a request to a VM of another region. Does not contain the caller's key. Immutable.
 *
 * @param stream id of the exchange on this connection, chosen by the requester
 * @param customer customer that the request runs for, or null on a route that is open to all
 * @param target model or service
 * @param method HTTP method
 * @param uri path and query for the upstream
 * @param headers headers for the upstream
 * @param body request body, must not be modified
 * @param path VMs and regions that the request has visited
 * @param repeatable true if the request can safely run more than once
 * @param tokens tokens reserved for the request
 */
public record ForwardRequest(
        long stream,
        CustomerId customer,
        RouteTarget target,
        String method,
        String uri,
        List<HeaderField> headers,
        byte[] body,
        VisitedPath path,
        boolean repeatable,
        long tokens)
        implements PeerMessage {
    /** Copies the headers. */
    public ForwardRequest {
        headers = List.copyOf(headers);
    }
}
