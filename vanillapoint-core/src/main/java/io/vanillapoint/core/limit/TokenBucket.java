package io.vanillapoint.core.limit;

/**
 * Token bucket whose rate and cap can change over time.
 *
 * <p>Invariant: the level is between 0 and the cap minus the capacity reserved for tokens in
 * transit. A bucket starts empty, raising the cap does not raise the level, and lowering the cap
 * truncates it. So the tokens taken in any window are at most the cap at its start plus the inflow.
 * Confined to one thread.
 */
public final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private double level;
    private double cap;
    private double ratePerSecond;
    private double reservedCapacity;

    /**
     * Tokens available now.
     *
     * @return level, zero or more
     */
    public double level() {
        return level;
    }

    /**
     * Largest level.
     *
     * @return cap, zero or more
     */
    public double cap() {
        return cap;
    }

    /**
     * Adds the inflow of the elapsed time at the current rate.
     *
     * @param elapsedNanos time since the last call, in nanoseconds
     */
    public void advance(double elapsedNanos) {
        if (elapsedNanos <= 0) {
            return;
        }
        double inflow = ratePerSecond * elapsedNanos / NANOS_PER_SECOND;
        level = Math.min(levelLimit(), level + inflow);
    }

    /**
     * Sets the rate and cap. A level above the new cap is truncated.
     *
     * @param newRatePerSecond tokens per second
     * @param newCap largest level
     */
    public void resize(double newRatePerSecond, double newCap) {
        ratePerSecond = newRatePerSecond;
        cap = newCap;
        level = Math.min(level, levelLimit());
    }

    /**
     * Reserves capacity for tokens in transit, so that the level and the reserved capacity together
     * stay within the cap. Replaces the previous reservation.
     *
     * @param tokens expected tokens, 0 to release the reservation
     */
    public void reserveCapacity(double tokens) {
        reservedCapacity = tokens;
        level = Math.min(level, levelLimit());
    }

    /**
     * Takes the tokens if all of them are available.
     *
     * @param tokens how many
     * @return true if they were taken
     */
    public boolean take(double tokens) {
        if (tokens > level) {
            return false;
        }
        level -= tokens;
        return true;
    }

    /**
     * Takes the available tokens, up to a maximum.
     *
     * @param tokens maximum number of tokens
     * @return tokens that were taken
     */
    public double takeUpTo(double tokens) {
        double taken = Math.min(tokens, level);
        level -= taken;
        return taken;
    }

    /**
     * Adds tokens, such as unused ones that were taken before.
     *
     * @param tokens number of tokens; those that exceed the limit are dropped
     */
    public void returnTokens(double tokens) {
        level = Math.min(levelLimit(), level + tokens);
    }

    /**
     * Time until a number of tokens is available.
     *
     * @param tokens how many
     * @return milliseconds, or {@link Long#MAX_VALUE} if they exceed the limit or the rate is 0
     */
    public long millisUntil(double tokens) {
        if (tokens <= level) {
            return 0;
        }
        if (tokens > levelLimit() || ratePerSecond <= 0) {
            return Long.MAX_VALUE;
        }
        return (long) Math.ceil((tokens - level) / ratePerSecond * MILLIS_PER_SECOND);
    }

    private double levelLimit() {
        return Math.max(0, cap - reservedCapacity);
    }
}
