package io.vanillapoint.api.plugin;

import io.vanillapoint.api.model.GatewayConfig;

/** A protocol that callers speak. Implementations are stateless and used by several threads. */
public interface RequestProtocol {
    /**
     * Tells whether the protocol handles a path.
     *
     * @param path path without the query
     * @return true if it does
     */
    boolean matches(String path);

    /**
     * Tells whether callers need no key for a path.
     *
     * @param path path that the protocol matches
     * @param config configuration in force
     * @return true if the route is open to all
     */
    boolean isOpen(String path, GatewayConfig config);

    /**
     * Parses a request and determines the upstream request for it.
     *
     * @param call the request
     * @param config configuration in force
     * @return the plan
     * @throws io.vanillapoint.api.error.VanillapointException if the request is malformed or names
     *     something that does not exist
     */
    RequestPlan plan(RequestView call, GatewayConfig config);

    /**
     * Creates a usage meter for one response.
     *
     * @param plan plan of the request
     * @return a new meter
     */
    UsageMeter meter(RequestPlan plan);
}
