package io.vanillapoint.core.routing;

import io.vanillapoint.api.model.Customer;
import io.vanillapoint.api.model.UpstreamId;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.RouteTarget;
import io.vanillapoint.core.message.VisitedPath;
import java.util.Set;

/**
 * A request that looks for a place to run. Immutable.
 *
 * @param customer customer, or null on a route that is open to all
 * @param target model or service
 * @param affinityKey requests with the same text profit from the same upstream
 * @param path VMs visited, the present one included
 * @param triedUpstreams upstreams not to choose again
 * @param triedVms VMs not to choose again
 */
public record DispatchQuery(
        Customer customer,
        RouteTarget target,
        String affinityKey,
        VisitedPath path,
        Set<UpstreamId> triedUpstreams,
        Set<VmId> triedVms) {
    /** Copies the sets. */
    public DispatchQuery {
        triedUpstreams = Set.copyOf(triedUpstreams);
        triedVms = Set.copyOf(triedVms);
    }
}
