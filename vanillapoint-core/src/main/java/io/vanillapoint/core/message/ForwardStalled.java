package io.vanillapoint.core.message;

/**
 * Reports that the upstream of a response is silent, so that the requester may replace it. The
 * response goes on if the upstream does. Immutable.
 *
 * @param stream id of the exchange on this connection, chosen by the requester
 */
public record ForwardStalled(long stream) implements PeerMessage {}
