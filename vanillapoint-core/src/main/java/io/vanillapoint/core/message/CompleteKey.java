package io.vanillapoint.core.message;

import java.util.Optional;

/**
 * Tells a VM how the attempt that holds an idempotency key ended. Immutable.
 *
 * @param key customer and key
 * @param attempt id of the attempt
 * @param outcome how it ended
 * @param response the response to store, if the attempt ran and its response is known
 */
public record CompleteKey(
        String key, String attempt, KeyOutcome outcome, Optional<StoredResponse> response)
        implements PeerMessage {}
