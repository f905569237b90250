package io.vanillapoint.core.upstream;

import io.vanillapoint.core.published.GatewayPublication;
import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceShare;
import io.vanillapoint.core.published.ServiceSpec;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Decides whether placement takes the load of replicas and the urgency of requests into account.
 *
 * <p>It does if the deployment asks for it in one of two ways: the configuration has event stream
 * routes of one engine service whose priorities differ by {@link #DEFERRABLE_DISTANCE} or more, or
 * replicas report how much their machine slows their work down. All other deployments are placed by
 * outstanding requests and prompt tokens alone. Confined to one thread.
 */
public final class LoadAwareness {
    /** Difference of two priorities from which requests of one route may be deferred. */
    static final int DEFERRABLE_DISTANCE = 2;

    /** Replicas that report a slowdown do so with each response, also while traffic is low. */
    private static final long SLOWDOWN_VALID_MILLIS = 10_000;

    private boolean deferrableRoutes;
    private Map<String, Integer> mostUrgent = Map.of();
    private long slowdownReportedMillis = Long.MIN_VALUE / 2;

    /**
     * Applies a configuration.
     *
     * @param publication the version in force
     */
    public void configure(GatewayPublication publication) {
        Map<String, Integer> highest = new HashMap<>();
        Map<String, Integer> lowest = new HashMap<>();
        for (RouteSpec route : publication.routes()) {
            if (route.kind() != RouteKind.EVENT_STREAM) {
                continue;
            }
            for (ServiceShare share : route.services()) {
                String service = share.service();
                if (publication.service(service).flatMap(ServiceSpec::engine).isPresent()) {
                    highest.merge(service, route.priority(), Math::min);
                    lowest.merge(service, route.priority(), Math::max);
                }
            }
        }
        mostUrgent = Map.copyOf(highest);
        deferrableRoutes =
                highest.entrySet().stream()
                        .anyMatch(
                                service ->
                                        lowest.get(service.getKey()) - service.getValue()
                                                >= DEFERRABLE_DISTANCE);
    }

    /**
     * Records that a replica has reported a slowdown, to this VM or to another one.
     *
     * @param nowMillis monotonic time
     */
    public void slowdownReported(long nowMillis) {
        slowdownReportedMillis = nowMillis;
    }

    /**
     * Tells whether placement is load-aware.
     *
     * @param nowMillis monotonic time
     * @return false if the deployment does not ask for it
     */
    public boolean active(long nowMillis) {
        return deferrableRoutes || nowMillis - slowdownReportedMillis < SLOWDOWN_VALID_MILLIS;
    }

    /**
     * Tells whether requests of a route are less urgent than others of the same engine service.
     *
     * @param route the route
     * @param service name of the service
     * @return true if another event stream route of the service has a smaller priority
     */
    public boolean deferrable(RouteSpec route, String service) {
        Integer urgent = mostUrgent.get(service);
        return urgent != null && route.priority() > urgent;
    }

    /**
     * Rank of a request among those of an engine.
     *
     * @param route route of the request
     * @param service name of its service
     * @param customerPriority priority of its customer, which comes before that of the route
     * @param nowMillis monotonic time
     * @return the rank, empty while placement is not load-aware, and for requests that are not
     *     event streams of an engine
     */
    public Optional<EngineRank> rank(
            RouteSpec route, String service, OptionalInt customerPriority, long nowMillis) {
        Integer urgent = mostUrgent.get(service);
        if (urgent == null || route.kind() != RouteKind.EVENT_STREAM || !active(nowMillis)) {
            return Optional.empty();
        }
        int relativePriority = Math.max(0, route.priority() - urgent);
        return Optional.of(
                EngineRank.of(customerPriority.orElse(route.priority()), relativePriority));
    }
}
