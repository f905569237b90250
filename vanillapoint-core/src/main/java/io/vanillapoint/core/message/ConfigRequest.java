package io.vanillapoint.core.message;

/**
 * Asks a peer for the published values that are newer than a revision. Immutable.
 *
 * @param newerThan revision that the asker has
 */
public record ConfigRequest(long newerThan) implements PeerMessage {
    @Override
    public boolean expectsAnswer() {
        return true;
    }
}
