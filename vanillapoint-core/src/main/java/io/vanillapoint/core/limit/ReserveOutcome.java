package io.vanillapoint.core.limit;

/**
 * What a reservation got. Immutable.
 *
 * @param granted tokens that were taken, 0 for none
 * @param retryAfterMillis time until the missing tokens will be there, 0 if none are missing;
 *     {@link Long#MAX_VALUE} if this VM alone will never have them
 * @param share part of the region's rate that this VM holds for the customer
 */
public record ReserveOutcome(double granted, long retryAfterMillis, double share) {}
