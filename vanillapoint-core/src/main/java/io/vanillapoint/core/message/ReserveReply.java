package io.vanillapoint.core.message;

/**
 * Reply to a {@link ReserveRequest}. Immutable.
 *
 * @param id id of the exchange
 * @param granted number of tokens taken from the bucket, 0 for none
 * @param retryAfterMillis time until the missing tokens are available in milliseconds
 * @param share fraction of the region's rate that the replying VM holds for the customer
 */
public record ReserveReply(long id, double granted, long retryAfterMillis, double share)
        implements PeerMessage {}
