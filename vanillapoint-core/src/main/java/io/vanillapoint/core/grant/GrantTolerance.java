package io.vanillapoint.core.grant;

/**
 * How far the fleet may overrun a customer's rate and burst while VMs have not yet heard of each
 * other. Immutable.
 *
 * @param slackTokens tokens in one window beyond rate and burst, from the operators' bounds
 */
public record GrantTolerance(double slackTokens) {
    /**
     * Part of the slack that a bucket may hold beyond the burst. The rest is left for requests that
     * several VMs admit before they hear of each other.
     */
    private static final double BUCKET_PART = 0.35;

    /**
     * Largest level of a customer's bucket.
     *
     * @param burst burst of the customer
     * @return tokens
     */
    public double bucketCap(double burst) {
        return burst + slackTokens * BUCKET_PART;
    }
}
