package io.vanillapoint.core.message;

/**
 * Chunk of the response body. Immutable.
 *
 * @param stream id of the exchange on this connection, chosen by the requester
 * @param bytes the chunk, must not be modified
 */
public record ForwardData(long stream, byte[] bytes) implements PeerMessage {}
