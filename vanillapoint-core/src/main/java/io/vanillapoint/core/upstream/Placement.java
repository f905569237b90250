package io.vanillapoint.core.upstream;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.published.UpstreamReplica;
import java.util.Optional;
import java.util.Set;

/** Outcome of choosing a replica for a request. Immutable. */
public sealed interface Placement {
    /**
     * The request is sent to a replica of this region.
     *
     * @param replica the replica
     * @param uncachedTokens prompt tokens that its prefix cache probably lacks
     * @param expectedMillis expected time to the first event or the response
     * @param cacheSource replica to copy the cached prompt prefix from
     */
    record Local(
            ReplicaTracker replica,
            long uncachedTokens,
            long expectedMillis,
            Optional<UpstreamReplica> cacheSource)
            implements Placement {}

    /**
     * The request is relayed to a VM of another region, or to one of this region that owns slots of
     * a replica or reaches replicas that this VM can't.
     *
     * @param region the region
     * @param expectedMillis expected time to the first event or the response
     * @param replicas ids of the replicas there that may serve the request
     * @param vm the VM, empty if any VM of the region will do
     */
    record Relay(
            RegionId region, long expectedMillis, Set<String> replicas, Optional<MemberInfo> vm)
            implements Placement {}

    /**
     * The request is refused.
     *
     * @param reason why it is refused
     * @param retryAfterMillis time after which a retry may succeed
     */
    record Refuse(RefusalReason reason, long retryAfterMillis) implements Placement {}
}
