package io.vanillapoint.core.published;

import io.vanillapoint.api.model.RegionId;
import java.util.List;
import java.util.Set;

/**
 * One route of the configuration. Immutable.
 *
 * @param name name in the configuration
 * @param host value of the Host header that selects it
 * @param prefix path prefix, begins and ends with a slash
 * @param kind whether requests may be repeated
 * @param timeoutMillis longest time that a caller waits
 * @param targetMillis time within which a response, or the first event of a stream, is on time
 * @param gapTargetMillis longest pause between events of a stream that is on time
 * @param priority priority, 0 is the most urgent
 * @param services services that receive the requests, at least one
 * @param attempts largest number of replicas that one request may be sent to
 * @param keyless true if no API key is required
 * @param prefixAffinity true if requests carry a prompt whose parts replicas cache
 * @param resumable true if a stream may be resumed at another replica
 * @param homes regions in which requests may be processed, empty for all
 */
public record RouteSpec(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        int timeoutMillis,
        int targetMillis,
        int gapTargetMillis,
        int priority,
        List<ServiceShare> services,
        int attempts,
        boolean keyless,
        boolean prefixAffinity,
        boolean resumable,
        Set<RegionId> homes) {
    /** Copies the collections. */
    public RouteSpec {
        services = List.copyOf(services);
        homes = Set.copyOf(homes);
    }

    /**
     * Tells whether a request whose run is uncertain may be sent again.
     *
     * @return true if a second run is safe
     */
    public boolean mayRunAgain() {
        return kind.mayRunAgain(resumable);
    }

    /**
     * Picks the service for a request.
     *
     * @param point uniformly distributed in [0, 1)
     * @return name of a service
     */
    public String service(double point) {
        double total = 0;
        for (ServiceShare share : services) {
            total += share.weight();
        }
        double remaining = point * total;
        for (ServiceShare share : services) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
