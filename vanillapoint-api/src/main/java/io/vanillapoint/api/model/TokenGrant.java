package io.vanillapoint.api.model;

/**
 * Rate and burst of one customer, counted over the whole fleet.
 *
 * <p>Invariant: both are positive. Immutable and safe for use by several threads.
 *
 * @param ratePerSecond tokens a second
 * @param burst tokens that may be spent at once
 */
public record TokenGrant(double ratePerSecond, double burst) {
    /** Checks the invariant. */
    public TokenGrant {
        if (!(ratePerSecond > 0) || !(burst > 0)) {
            throw new IllegalArgumentException("expected a positive rate and burst");
        }
    }

    /**
     * The smaller of two grants, field by field.
     *
     * @param other grant to compare with
     * @return a grant that neither of the two exceeds
     */
    public TokenGrant min(TokenGrant other) {
        return new TokenGrant(
                Math.min(ratePerSecond, other.ratePerSecond), Math.min(burst, other.burst));
    }
}
