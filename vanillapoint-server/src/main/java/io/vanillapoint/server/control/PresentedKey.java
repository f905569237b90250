package io.vanillapoint.server.control;

/**
 * Idempotency key that a caller sent. Immutable.
 *
 * @param text value of the header
 * @param firstAttempt true if the caller declares that this is its first attempt
 */
public record PresentedKey(String text, boolean firstAttempt) {}
