package io.vanillapoint.core.upstream;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.prompt.PromptSummary;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceSpec;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * A request that needs a replica. Immutable.
 *
 * @param route route of the request
 * @param service service that it goes to
 * @param prompt prompt of a model request, empty for a plain request
 * @param bodyBytes bytes of the body
 * @param regions tells whether the request may be processed in a region
 * @param tried ids of the replicas that it was already sent to, and names of the VMs of this region
 *     that had no place for it
 * @param mayRelay true if it may be relayed to another VM
 * @param elapsedMillis time since the caller sent it
 * @param remainingMillis time left to answer it
 * @param rank rank among the requests of an engine, empty unless load-aware placement is active
 */
public record PlacementQuery(
        RouteSpec route,
        ServiceSpec service,
        Optional<PromptSummary> prompt,
        long bodyBytes,
        Predicate<RegionId> regions,
        Set<String> tried,
        boolean mayRelay,
        long elapsedMillis,
        long remainingMillis,
        Optional<EngineRank> rank) {
    /** Creates a request that is placed without regard to the urgency of others. */
    public PlacementQuery(
            RouteSpec route,
            ServiceSpec service,
            Optional<PromptSummary> prompt,
            long bodyBytes,
            Predicate<RegionId> regions,
            Set<String> tried,
            boolean mayRelay,
            long elapsedMillis,
            long remainingMillis) {
        this(
                route,
                service,
                prompt,
                bodyBytes,
                regions,
                tried,
                mayRelay,
                elapsedMillis,
                remainingMillis,
                Optional.empty());
    }
}
