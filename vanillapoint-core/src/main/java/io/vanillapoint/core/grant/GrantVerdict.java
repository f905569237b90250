package io.vanillapoint.core.grant;

/**
 * Whether a request's tokens were admitted. Immutable.
 *
 * @param admitted true if they were
 * @param level tokens left to the customer as this VM knows it, negative for a debt
 * @param retryAfterMillis if refused, when there will be room
 */
public record GrantVerdict(boolean admitted, long level, long retryAfterMillis) {}
