package io.vanillapoint.core.message;

import java.util.Optional;

/**
 * Tells a VM how the attempt that holds an idempotency key ended. Immutable.
 *
 * @param key scope and key
 * @param attempt name of the attempt
 * @param outcome how it ended
 * @param answer the answer if it ran and is to be kept
 */
public record CompleteKey(
        String key, String attempt, KeyOutcome outcome, Optional<StoredAnswer> answer)
        implements PeerMessage {}
