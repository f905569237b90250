package io.vanillapoint.core.message;

import io.vanillapoint.api.model.RegionId;

/**
 * Answer to a {@link LoadRequest}. Immutable.
 *
 * @param target model or service
 * @param region region of the answering VM
 * @param load lowest load of an upstream: requests for each unit of capacity, infinite if none
 *     takes new work
 */
public record LoadReply(RouteTarget target, RegionId region, double load) implements PeerMessage {}
