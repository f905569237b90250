package io.vanillapoint.core.message;

/**
 * Answer to a {@link ReserveRequest}. Immutable.
 *
 * @param id number of the exchange
 * @param granted tokens that were taken from the bucket, 0 for none
 * @param retryAfterMillis when the missing tokens will be there, in milliseconds
 * @param share part of the region's rate that the answering VM holds for the customer
 */
public record ReserveReply(long id, double granted, long retryAfterMillis, double share)
        implements PeerMessage {}
