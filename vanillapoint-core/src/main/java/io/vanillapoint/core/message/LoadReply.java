package io.vanillapoint.core.message;

import io.vanillapoint.api.model.RegionId;

/**
 * Reply to a {@link LoadRequest}. Immutable.
 *
 * @param target model or service
 * @param region region of the replying VM
 * @param load load of the least loaded upstream in requests per unit of capacity, infinite if no
 *     upstream accepts new requests
 */
public record LoadReply(RouteTarget target, RegionId region, double load) implements PeerMessage {}
