package io.vanillapoint.core.message;

/**
 * Returns the unused tokens of a {@link ReserveRequest}. Immutable.
 *
 * @param id id of the exchange
 * @param unused number of tokens that were not used
 */
public record Settle(long id, double unused) implements PeerMessage {}
