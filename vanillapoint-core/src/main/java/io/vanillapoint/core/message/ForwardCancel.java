package io.vanillapoint.core.message;

/**
 * The asker no longer wants the answer. Immutable.
 *
 * @param stream number of the exchange on this connection, chosen by the asker
 */
public record ForwardCancel(long stream) implements PeerMessage {}
