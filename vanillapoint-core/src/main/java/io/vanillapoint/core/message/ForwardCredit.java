package io.vanillapoint.core.message;

/**
 * Flow control: lets the receiver send more bytes of the response. Immutable.
 *
 * @param stream id of the exchange on this connection, chosen by the requester
 * @param bytes number of additional bytes
 */
public record ForwardCredit(long stream, long bytes) implements PeerMessage {}
