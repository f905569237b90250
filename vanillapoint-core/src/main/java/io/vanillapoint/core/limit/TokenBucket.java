package io.vanillapoint.core.limit;

/**
 * Token bucket whose rate and cap change over time.
 *
 * <p>Invariant: the level lies between 0 and the cap less the room that is held for tokens on their
 * way. A bucket starts empty, a higher cap does not raise the level, and a lower cap cuts it. So
 * what is taken in a window is at most the cap at its start plus what flowed in. Confined to one
 * thread.
 */
public final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private double level;
    private double cap;
    private double ratePerSecond;
    private double room;

    /**
     * Tokens that can be taken now.
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
     * Lets time pass at the present rate.
     *
     * @param elapsedNanos time since the last call, in nanoseconds
     */
    public void advance(double elapsedNanos) {
        if (elapsedNanos <= 0) {
            return;
        }
        double inflow = ratePerSecond * elapsedNanos / NANOS_PER_SECOND;
        level = Math.min(limit(), level + inflow);
    }

    /**
     * Changes rate and cap from now on.
     *
     * @param newRatePerSecond tokens a second
     * @param newCap largest level
     */
    public void resize(double newRatePerSecond, double newCap) {
        ratePerSecond = newRatePerSecond;
        cap = newCap;
        level = Math.min(level, limit());
    }

    /**
     * Holds room for tokens on their way, so that level and room together stay within the cap.
     *
     * @param tokens how many are expected, 0 to end it
     */
    public void holdRoom(double tokens) {
        room = tokens;
        level = Math.min(level, limit());
    }

    /**
     * Takes tokens if all of them are there.
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
     * Takes as many tokens as there are, up to a number.
     *
     * @param tokens how many at most
     * @return how many were taken
     */
    public double takeUpTo(double tokens) {
        double taken = Math.min(tokens, level);
        level -= taken;
        return taken;
    }

    /**
     * Puts tokens back that were taken from this bucket.
     *
     * @param tokens how many; what does not fit is lost
     */
    public void giveBack(double tokens) {
        level = Math.min(limit(), level + tokens);
    }

    /**
     * Time until a number of tokens is there.
     *
     * @param tokens how many
     * @return milliseconds, or {@link Long#MAX_VALUE} if they never will be
     */
    public long millisUntil(double tokens) {
        if (tokens <= level) {
            return 0;
        }
        if (tokens > limit() || ratePerSecond <= 0) {
            return Long.MAX_VALUE;
        }
        return (long) Math.ceil((tokens - level) / ratePerSecond * MILLIS_PER_SECOND);
    }

    private double limit() {
        return Math.max(0, cap - room);
    }
}
