package io.vanillapoint.core.message;

/**
 * Registers an attempt of a request under its idempotency key before it is dispatched. Immutable.
 *
 * @param id id of the exchange
 * @param key customer and key
 * @param attempt unique id of the attempt
 * @param fingerprint digest of the request, to detect reuse of the key for a different one
 * @param origin where the key comes from
 */
public record RegisterRequest(
        long id, String key, String attempt, String fingerprint, KeyOrigin origin)
        implements PeerMessage {
    @Override
    public boolean expectsReply() {
        return true;
    }
}
