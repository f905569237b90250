package io.vanillapoint.entry.port;

import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.core.message.HeaderField;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Headers of a call to an upstream. Immutable.
 *
 * @param headers the caller's headers to forward
 * @param replica id of the intended replica
 * @param customer name of the customer, empty on a route that is open to all
 * @param remainingMillis time that the upstream has, in milliseconds
 * @param urgency rank among the requests of an engine, 0 is served first
 * @param lastEventId id of the event after which the stream resumes
 * @param cacheSource engine that may have more of the prompt cached, to copy the cache from
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
     * Returns the same call with another remaining time.
     *
     * @param millis time that the upstream has, in milliseconds
     * @return a copy
     */
    public UpstreamCall withRemainingMillis(long millis) {
        return new UpstreamCall(
                headers, replica, customer, millis, urgency, lastEventId, cacheSource);
    }
}
