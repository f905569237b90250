package io.vanillapoint.core.message;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A request that is relayed to another VM, which runs it at an upstream of its region. It is never
 * relayed again and does not contain the caller's key. Immutable.
 *
 * @param requestId the caller's id of the request
 * @param route name of the route
 * @param service name of the service
 * @param customer name of the customer, empty on a route that is open to all
 * @param remainingMillis time in milliseconds left until the deadline when it was sent
 * @param method HTTP method
 * @param uri path and query for the upstream
 * @param headers the caller's headers that are sent to the upstream
 * @param body request body, must not be modified
 * @param configurationVersion version of the configuration that the relaying VM has in force; 0
 *     from a VM of an earlier build
 */
public record RelayRequest(
        String requestId,
        String route,
        String service,
        Optional<String> customer,
        int remainingMillis,
        String method,
        String uri,
        List<HeaderField> headers,
        byte[] body,
        long configurationVersion) {
    /** Rejects missing components and copies the headers. */
    public RelayRequest {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
        Objects.requireNonNull(body, "body");
        headers = List.copyOf(headers);
    }

    /**
     * The same request with a different remaining time.
     *
     * @param millis time left until the deadline when it is sent, in milliseconds
     * @return a copy
     */
    public RelayRequest withRemainingMillis(int millis) {
        return new RelayRequest(
                requestId,
                route,
                service,
                customer,
                millis,
                method,
                uri,
                headers,
                body,
                configurationVersion);
    }
}
