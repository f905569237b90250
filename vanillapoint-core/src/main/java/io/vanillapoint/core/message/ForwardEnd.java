package io.vanillapoint.core.message;

/**
 * End marker: the answer was whole. Immutable.
 *
 * @param stream number of the exchange on this connection, chosen by the asker
 * @param bytes length of the body, to notice a lost part
 */
public record ForwardEnd(long stream, long bytes) implements PeerMessage {}
