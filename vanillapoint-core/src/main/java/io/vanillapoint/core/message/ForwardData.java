package io.vanillapoint.core.message;

/**
 * Part of the answer's body. Immutable.
 *
 * @param stream number of the exchange on this connection, chosen by the asker
 * @param bytes the part, must not be changed
 */
public record ForwardData(long stream, byte[] bytes) implements PeerMessage {}
