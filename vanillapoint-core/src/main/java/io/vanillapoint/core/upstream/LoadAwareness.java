package io.vanillapoint.core.upstream;

import io.vanillapoint.core.published.GatewayPublication;
import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceShare;
import io.vanillapoint.core.published.ServiceSpec;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;

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

    /** By engine service, the shortest target of its event stream routes of each priority. */
    private Map<String, NavigableMap<Integer, Integer>> targetMillis = Map.of();

    private long slowdownReportedMillis = Long.MIN_VALUE / 2;

    /**
     * Applies a configuration.
     *
     * @param publication the version in force
     */
    public void configure(GatewayPublication publication) {
        Map<String, NavigableMap<Integer, Integer>> targets = new HashMap<>();
        for (RouteSpec route : publication.routes()) {
            if (route.kind() != RouteKind.EVENT_STREAM) {
                continue;
            }
            for (ServiceShare share : route.services()) {
                String service = share.service();
                if (publication.service(service).flatMap(ServiceSpec::engine).isPresent()) {
                    targets.computeIfAbsent(service, unused -> new TreeMap<>())
                            .merge(route.priority(), route.targetMillis(), Math::min);
                }
            }
        }
        targetMillis = Map.copyOf(targets);
        deferrableRoutes =
                targets.values().stream()
                        .anyMatch(
                                service ->
                                        service.lastKey() - service.firstKey()
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
        NavigableMap<Integer, Integer> targets = targetMillis.get(service);
        return targets != null && route.priority() > targets.firstKey();
    }

    /**
     * Shortest target of the routes of a service that are more urgent than a route.
     *
     * @param route the route
     * @param service name of the service
     * @return milliseconds, empty if no route of the service is more urgent
     */
    OptionalInt urgentTargetMillis(RouteSpec route, String service) {
        NavigableMap<Integer, Integer> targets = targetMillis.get(service);
        return targets == null
                ? OptionalInt.empty()
                : targets.headMap(route.priority(), false).values().stream()
                        .mapToInt(Integer::intValue)
                        .min();
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
        NavigableMap<Integer, Integer> targets = targetMillis.get(service);
        if (targets == null || route.kind() != RouteKind.EVENT_STREAM || !active(nowMillis)) {
            return Optional.empty();
        }
        int relativePriority = Math.max(0, route.priority() - targets.firstKey());
        return Optional.of(
                EngineRank.of(customerPriority.orElse(route.priority()), relativePriority));
    }
}
