package io.vanillapoint.core.grant;

/**
 * Result of an attempt to take a request's tokens from a customer's bucket. Immutable.
 *
 * @param admitted whether the request was admitted
 * @param level tokens left in this VM's copy of the bucket, negative for a debt
 * @param retryAfterMillis if refused, milliseconds until a retry can be admitted; otherwise 0
 */
public record GrantVerdict(boolean admitted, long level, long retryAfterMillis) {}
