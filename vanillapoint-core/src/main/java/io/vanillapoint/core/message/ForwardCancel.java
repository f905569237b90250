package io.vanillapoint.core.message;

/**
 * Cancels a forwarded request. Immutable.
 *
 * @param stream id of the exchange on this connection, chosen by the requester
 */
public record ForwardCancel(long stream) implements PeerMessage {}
