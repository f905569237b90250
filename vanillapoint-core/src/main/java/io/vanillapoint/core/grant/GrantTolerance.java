package io.vanillapoint.core.grant;

/**
 * How far the fleet may exceed a customer's rate and burst because VMs learn of each other's
 * admissions with a delay. Immutable.
 *
 * @param slackTokens tokens beyond rate and burst allowed in one window, set by the operators
 */
public record GrantTolerance(double slackTokens) {
    /**
     * Fraction of the slack that a bucket may hold beyond the burst. The rest is left for requests
     * that several VMs admit before they hear of each other.
     */
    private static final double BUCKET_SLACK_FRACTION = 0.35;

    /**
     * Capacity of a customer's bucket.
     *
     * @param burst burst of the customer in tokens
     * @return capacity in tokens
     */
    public double bucketCapacity(double burst) {
        return burst + slackTokens * BUCKET_SLACK_FRACTION;
    }
}
