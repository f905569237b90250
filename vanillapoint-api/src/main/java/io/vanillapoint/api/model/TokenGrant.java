package io.vanillapoint.api.model;

/**
 * Rate and burst of one customer, counted over the whole fleet.
 *
 * <p>Invariant: both are positive. Immutable and safe for use by several threads.
 *
 * @param ratePerSecond tokens per second
 * @param burst capacity of the token bucket: tokens that may be spent at once
 */
public record TokenGrant(double ratePerSecond, double burst) {
    /** Checks the invariant. */
    public TokenGrant {
        if (!(ratePerSecond > 0) || !(burst > 0)) {
            throw new IllegalArgumentException("expected a positive rate and burst");
        }
    }

    /**
     * The component-wise minimum of two grants.
     *
     * @param other grant to compare with
     * @return a grant that exceeds neither of the two
     */
    public TokenGrant min(TokenGrant other) {
        return new TokenGrant(
                Math.min(ratePerSecond, other.ratePerSecond), Math.min(burst, other.burst));
    }
}
