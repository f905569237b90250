package io.vanillapoint.entry.port;

import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.core.message.HeaderField;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What is sent to an upstream beside method, path and body. Immutable.
 *
 * @param headers the caller's headers that go on
 * @param replica id of the replica that is meant
 * @param customer name of the customer, empty on a route that is open to all
 * @param remainingMillis how long the upstream may work
 * @param urgency rank among the requests of an engine, 0 first
 * @param lastEventId event after which a stream goes on
 * @param cacheSource engine that may hold more of the prompt, to be copied from
 */
public record UpstreamCall(
        List<HeaderField> headers,
        String replica,
        Optional<String> customer,
        long remainingMillis,
        OptionalInt urgency,
        OptionalLong lastEventId,
        Optional<Endpoint> cacheSource) {
    /**
     * The same call with another time to work.
     *
     * @param millis how long the upstream may work
     * @return a copy
     */
    public UpstreamCall withRemainingMillis(long millis) {
        return new UpstreamCall(
                headers, replica, customer, millis, urgency, lastEventId, cacheSource);
    }
}
