package io.vanillapoint.core.message;

/**
 * Marks the end of a complete response. Immutable.
 *
 * @param stream id of the exchange on this connection, chosen by the requester
 * @param bytes length of the body in bytes, to detect lost chunks
 */
public record ForwardEnd(long stream, long bytes) implements PeerMessage {}
