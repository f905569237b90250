package io.vanillapoint.core.message;

/**
 * Registers a request under its idempotency key before it is dispatched. Immutable.
 *
 * @param id number of the exchange
 * @param key scope and key
 * @param attempt name of the attempt, unique
 * @param fingerprint digest of the request, to notice a key that is used twice
 * @param keyMillis wall time before which no request with the key was made, 0 if not known
 */
public record RegisterRequest(
        long id, String key, String attempt, String fingerprint, long keyMillis)
        implements PeerMessage {}
