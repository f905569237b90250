package io.vanillapoint.core.routing;

import io.vanillapoint.api.model.Customer;
import io.vanillapoint.api.model.UpstreamId;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.RouteTarget;
import io.vanillapoint.core.message.VisitedPath;
import java.util.Set;

/**
 * A request for which a destination is chosen. Immutable.
 *
 * @param customer customer, or null on a route that is open to all
 * @param target model or service
 * @param affinityKey requests with the same key benefit from the same upstream
 * @param path VMs visited, including this one
 * @param triedUpstreams upstreams that are not chosen again
 * @param triedVms VMs that are not chosen again
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
