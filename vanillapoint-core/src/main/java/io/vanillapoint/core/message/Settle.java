package io.vanillapoint.core.message;

/**
 * Gives unused tokens of a {@link ReserveRequest} back. Immutable.
 *
 * @param id number of the exchange
 * @param unused tokens that were not used
 */
public record Settle(long id, double unused) implements PeerMessage {}
