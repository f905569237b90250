package io.vanillapoint.core.message;

/**
 * Requests the published values newer than a revision from a peer. Immutable.
 *
 * @param newerThan revision that the requester has
 */
public record ConfigRequest(long newerThan) implements PeerMessage {
    @Override
    public boolean expectsReply() {
        return true;
    }
}
