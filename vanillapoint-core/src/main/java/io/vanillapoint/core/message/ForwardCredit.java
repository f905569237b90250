package io.vanillapoint.core.message;

/**
 * The asker takes more bytes of the answer. Immutable.
 *
 * @param stream number of the exchange on this connection, chosen by the asker
 * @param bytes how many more
 */
public record ForwardCredit(long stream, long bytes) implements PeerMessage {}
