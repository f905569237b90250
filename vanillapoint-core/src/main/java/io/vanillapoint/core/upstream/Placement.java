package io.vanillapoint.core.upstream;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.published.UpstreamReplica;
import java.util.Optional;

/** Where a request goes. Immutable. */
public sealed interface Placement {
    /**
     * To a replica of this region.
     *
     * @param replica the replica
     * @param uncachedTokens prompt tokens that it has to read
     * @param expectedMillis expected time to the first event or the answer
     * @param cacheSource replica that probably holds more of the prompt, to be copied from
     */
    record Local(
            ReplicaTracker replica,
            long uncachedTokens,
            long expectedMillis,
            Optional<UpstreamReplica> cacheSource)
            implements Placement {}

    /**
     * To a VM of another region.
     *
     * @param region the region
     * @param expectedMillis expected time to the first event or the answer
     */
    record Relay(RegionId region, long expectedMillis) implements Placement {}

    /**
     * Nowhere.
     *
     * @param reason why
     * @param retryAfterMillis when there may be room
     */
    record Refuse(RefusalReason reason, long retryAfterMillis) implements Placement {}
}
