package io.vanillapoint.core.message;

/**
 * Registers a request under its idempotency key before it is dispatched. Immutable.
 *
 * @param id number of the exchange
 * @param key customer and key
 * @param attempt name of the attempt, unique
 * @param fingerprint digest of the request, to notice a key that is used for another one
 * @param origin where the key comes from
 */
public record RegisterRequest(
        long id, String key, String attempt, String fingerprint, KeyOrigin origin)
        implements PeerMessage {
    @Override
    public boolean expectsAnswer() {
        return true;
    }
}
