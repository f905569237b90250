package io.vanillapoint.core.published;

/**
 * Part of a route's requests that goes to one service. Immutable.
 *
 * @param service name of the service
 * @param weight relative part, 0 or more
 */
public record ServiceShare(String service, double weight) {}
