package io.vanillapoint.core.published;

import io.vanillapoint.api.model.RegionId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One version of the operators' configuration.
 *
 * <p>Invariant: the routes of a host are ordered by descending prefix length, so that the first
 * match is the longest. Immutable and thread-safe.
 */
public final class GatewayPublication {
    private final long version;
    private final Map<String, List<RouteSpec>> routesByHost = new HashMap<>();
    private final Map<String, RouteSpec> routesByName = new HashMap<>();
    private final Map<String, ServiceSpec> services = new HashMap<>();
    private final Set<String> serviceNames = new HashSet<>();
    private final Map<String, CustomerSpec> customers = new HashMap<>();
    private final Map<String, CustomerSpec> customersByKey = new HashMap<>();
    private final TrafficLimits limits;

    /**
     * Creates a version.
     *
     * @param version number of the version
     * @param routes routes, names are unique
     * @param services services, names are unique
     * @param customers customers, names and keys are unique
     * @param limits limits for callers
     */
    public GatewayPublication(
            long version,
            List<RouteSpec> routes,
            List<ServiceSpec> services,
            List<CustomerSpec> customers,
            TrafficLimits limits) {
        this.version = version;
        this.limits = limits;
        for (RouteSpec route : routes) {
            String host = route.host().toLowerCase(Locale.ROOT);
            routesByHost.computeIfAbsent(host, unused -> new ArrayList<>()).add(route);
            routesByName.put(route.name(), route);
            route.services().forEach(share -> serviceNames.add(share.service()));
        }
        Comparator<RouteSpec> longestFirst =
                Comparator.comparingInt((RouteSpec route) -> route.prefix().length()).reversed();
        routesByHost.values().forEach(list -> list.sort(longestFirst));
        services.forEach(service -> this.services.put(service.name(), service));
        serviceNames.addAll(this.services.keySet());
        for (CustomerSpec customer : customers) {
            this.customers.put(customer.name(), customer);
            customer.keys().forEach(key -> customersByKey.put(key, customer));
        }
    }

    /**
     * Number of the version.
     *
     * @return number, larger for a newer version
     */
    public long version() {
        return version;
    }

    /**
     * Limits for callers.
     *
     * @return the limits
     */
    public TrafficLimits limits() {
        return limits;
    }

    /**
     * Tells whether requests need a key.
     *
     * @return true if there are customers
     */
    public boolean hasCustomers() {
        return !customers.isEmpty();
    }

    /**
     * All customers.
     *
     * @return immutable collection
     */
    public List<CustomerSpec> customers() {
        return List.copyOf(customers.values());
    }

    /**
     * All routes.
     *
     * @return immutable collection
     */
    public List<RouteSpec> routes() {
        return List.copyOf(routesByName.values());
    }

    /**
     * Finds the route of a request.
     *
     * @param host value of the Host header, a port is ignored
     * @param path path without the query
     * @return the route with the longest prefix
     */
    public Optional<RouteSpec> route(String host, String path) {
        return routesOf(host).stream().filter(route -> path.startsWith(route.prefix())).findFirst();
    }

    /**
     * Home regions that occur in the most routes of a host.
     *
     * @param host value of the Host header, a port is ignored
     * @return the regions, several if they tie, empty if none of the routes has homes
     */
    public Set<RegionId> homes(String host) {
        Map<RegionId, Integer> counts = new HashMap<>();
        int highestCount = 0;
        for (RouteSpec route : routesOf(host)) {
            for (RegionId home : route.homes()) {
                highestCount = Math.max(highestCount, counts.merge(home, 1, Integer::sum));
            }
        }
        int highest = highestCount;
        counts.values().removeIf(count -> count < highest);
        return Set.copyOf(counts.keySet());
    }

    /**
     * Tells whether every request to a host is restricted to certain regions.
     *
     * @param host value of the Host header, a port is ignored
     * @return true if all its routes have homes
     */
    public boolean restrictedToHomes(String host) {
        List<RouteSpec> routes = routesOf(host);
        return !routes.isEmpty() && routes.stream().noneMatch(route -> route.homes().isEmpty());
    }

    private List<RouteSpec> routesOf(String host) {
        String name = host.toLowerCase(Locale.ROOT);
        int colon = name.lastIndexOf(':');
        String withoutPort = colon < 0 ? name : name.substring(0, colon);
        return routesByHost.getOrDefault(withoutPort, List.of());
    }

    /**
     * Finds a route by its name.
     *
     * @param name name in the configuration
     * @return the route
     */
    public Optional<RouteSpec> route(String name) {
        return Optional.ofNullable(routesByName.get(name));
    }

    /**
     * Finds a service.
     *
     * @param name name in the configuration
     * @return the service
     */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Names of the services that are declared or that a route uses.
     *
     * @return immutable set
     */
    public Set<String> serviceNames() {
        return Collections.unmodifiableSet(serviceNames);
    }

    /**
     * Finds a customer by name.
     *
     * @param name name in the configuration
     * @return the customer
     */
    public Optional<CustomerSpec> customer(String name) {
        return Optional.ofNullable(customers.get(name));
    }

    /**
     * Finds the customer that holds a key.
     *
     * @param key key as presented
     * @return the customer
     */
    public Optional<CustomerSpec> customerOfKey(String key) {
        return Optional.ofNullable(customersByKey.get(key));
    }
}
