package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.published.CustomerSpec;
import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.entry.port.RequestEnvelope;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * A request that has been admitted. Immutable; the body must not be changed.
 *
 * @param envelope head of the request
 * @param method HTTP method
 * @param uri path and query for the upstream
 * @param body body
 * @param route its route
 * @param service service that it goes to
 * @param customer who pays, empty on a route that is open to all
 * @param receivedAtMillis steady time at which its head arrived
 * @param deadlineMillis steady time at which its answer is no longer waited for
 * @param relayed true if it comes from a VM of another region
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
    /** Urgency of the most urgent requests; what is below is left to operators. */
    private static final int FIRST_URGENCY = 2;

    private static final int URGENCY_STEP = 2;
    private static final int LAST_URGENCY = 9;

    /**
     * Tells whether the request may be processed in a region.
     *
     * @param region the region
     * @return true if neither route nor customer forbids it
     */
    public boolean allowedIn(RegionId region) {
        boolean routeAllows = route.homes().isEmpty() || route.homes().contains(region);
        return routeAllows
                && customer.map(CustomerSpec::homes)
                        .filter(homes -> !homes.isEmpty() && !homes.contains(region))
                        .isEmpty();
    }

    /**
     * Rank among the requests of an engine.
     *
     * @return urgency, empty for a plain request
     */
    public OptionalInt urgency() {
        if (route.kind() != RouteKind.EVENT_STREAM) {
            return OptionalInt.empty();
        }
        int priority = route.priority();
        if (customer.isPresent()) {
            priority = customer.get().priority().orElse(priority);
        }
        return OptionalInt.of(Math.min(LAST_URGENCY, FIRST_URGENCY + URGENCY_STEP * priority));
    }
}
