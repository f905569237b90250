package io.vanillapoint.server.control;

/**
 * The idempotency key that a caller sent. Immutable.
 *
 * @param text value of the header
 * @param firstAttempt true if the caller says that it has made no other attempt
 */
public record PresentedKey(String text, boolean firstAttempt) {}
