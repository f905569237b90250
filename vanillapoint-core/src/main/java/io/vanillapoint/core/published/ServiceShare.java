package io.vanillapoint.core.published;

/**
 * Part of a route's requests that goes to one service. Immutable.
 *
 * @param service name of the service
 * @param weight relative weight, 0 or more
 */
public record ServiceShare(String service, double weight) {}
