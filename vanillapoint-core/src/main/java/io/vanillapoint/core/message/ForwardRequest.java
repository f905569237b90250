package io.vanillapoint.core.message;

import io.vanillapoint.api.model.CustomerId;
import java.util.List;

/**
 * Asks a VM of another region to run a request. The caller's key is not part of it. Immutable.
 *
 * @param stream number of the exchange on this connection, chosen by the asker
 * @param customer customer for whom it runs, or null on a route that is open to all
 * @param target model or service
 * @param method HTTP method
 * @param uri path and query for the upstream
 * @param headers headers for the upstream
 * @param body body, must not be changed
 * @param path VMs and regions that the request has visited
 * @param repeatable true if a second run does no harm
 * @param tokens tokens reserved for it
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
