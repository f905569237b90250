package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.prompt.PromptPart;
import io.vanillapoint.core.prompt.PromptSummary;
import io.vanillapoint.core.published.CustomerSpec;
import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceSpec;
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
    /** Urgency of the most urgent requests; lower values are reserved for operators. */
    private static final int MOST_URGENT = 2;

    private static final int URGENCY_STEP = 2;
    private static final int LEAST_URGENT = 9;

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
     * Scheduling urgency at an engine; lower values run first.
     *
     * @return urgency, empty if the route is not an event stream
     */
    public OptionalInt urgency() {
        if (route.kind() != RouteKind.EVENT_STREAM) {
            return OptionalInt.empty();
        }
        int priority = route.priority();
        if (customer.isPresent()) {
            priority = customer.get().priority().orElse(priority);
        }
        return OptionalInt.of(Math.min(LEAST_URGENT, MOST_URGENT + URGENCY_STEP * priority));
    }
}
