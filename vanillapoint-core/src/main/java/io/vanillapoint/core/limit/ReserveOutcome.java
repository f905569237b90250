package io.vanillapoint.core.limit;

/**
 * Outcome of a reservation. Immutable.
 *
 * @param granted tokens that were reserved, 0 for none
 * @param retryAfterMillis time until the missing tokens are available, 0 if none are missing;
 *     {@link Long#MAX_VALUE} if this VM alone can never provide them
 * @param share part of the region's rate that this VM holds for the customer
 */
public record ReserveOutcome(double granted, long retryAfterMillis, double share) {}
