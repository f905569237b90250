package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.prompt.PromptPart;
import io.vanillapoint.core.prompt.PromptSummary;
import io.vanillapoint.core.published.CustomerSpec;
import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.upstream.EngineRank;
import io.vanillapoint.core.upstream.LoadAwareness;
import io.vanillapoint.entry.port.RequestEnvelope;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * An admitted request. Immutable; the body must not be modified.
 *
 * @param envelope parsed headers of the request
 * @param method HTTP method
 * @param uri path and query for the upstream
 * @param body body of the request
 * @param route route that it matched
 * @param service service that it is sent to
 * @param customer customer that is charged, empty on an open route
 * @param receivedAtMillis monotonic time at which its headers arrived
 * @param deadlineMillis monotonic time after which its response is no longer awaited
 * @param relayed true if another VM relayed it
 */
public record RequestPlan(
        RequestEnvelope envelope,
        String method,
        String uri,
        Buffer body,
        RouteSpec route,
        ServiceSpec service,
        Optional<CustomerSpec> customer,
        long receivedAtMillis,
        long deadlineMillis,
        boolean relayed) {
    /**
     * Tells whether the request may be processed in a region.
     *
     * @param region the region
     * @return true if the home regions of both route and customer permit it
     */
    public boolean allowedIn(RegionId region) {
        boolean routeAllows = route.homes().isEmpty() || route.homes().contains(region);
        return routeAllows
                && customer.map(CustomerSpec::homes)
                        .filter(homes -> !homes.isEmpty() && !homes.contains(region))
                        .isEmpty();
    }

    /**
     * Ids of the prompt parts that other requests may share, for the log.
     *
     * @return ids in order, empty for a plain request
     */
    public List<String> sharedPartIds() {
        return envelope.prompt().map(PromptSummary::sharedParts).orElse(List.of()).stream()
                .map(PromptPart::id)
                .toList();
    }

    /**
     * Rank among the requests of an engine.
     *
     * @param awareness tells whether placement is load-aware
     * @param nowMillis monotonic time
     * @return the rank, empty while placement is not load-aware
     */
    public Optional<EngineRank> rank(LoadAwareness awareness, long nowMillis) {
        return awareness.rank(route, service.name(), customerPriority(), nowMillis);
    }

    /**
     * Scheduling urgency at an engine; lower values run first.
     *
     * @param rank result of {@link #rank}; without it, a customer's priority replaces the route's
     * @return urgency, empty if the route is not an event stream
     */
    public OptionalInt urgency(Optional<EngineRank> rank) {
        if (route.kind() != RouteKind.EVENT_STREAM) {
            return OptionalInt.empty();
        }
        int byPriority = EngineRank.urgency(customerPriority().orElse(route.priority()));
        return OptionalInt.of(rank.map(EngineRank::urgency).orElse(byPriority));
    }

    private OptionalInt customerPriority() {
        return customer.map(CustomerSpec::priority).orElse(OptionalInt.empty());
    }
}
