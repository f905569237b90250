package io.vanillapoint.standin.load;

/**
 * What one customer may spend, counted at the caller: a bucket with its declared rate and burst. It
 * tells how many requests an ideal system would serve; those that were not served in their place
 * count as wrongfully refused. Confined to one thread.
 */
final class RateMeter {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double ratePerSecond;
    private final double burst;
    private double level;
    private long atMillis;

    RateMeter(double ratePerSecond, double burst, long nowMillis) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.level = burst;
        this.atMillis = nowMillis;
    }

    /** Takes the tokens of a request that is being sent; false if they are not there. */
    boolean reserve(double tokens, long nowMillis) {
        advance(nowMillis);
        if (level < tokens) {
            return false;
        }
        level -= tokens;
        return true;
    }

    /** Puts unused tokens back, or takes more with a negative number. */
    void settle(double unused, long nowMillis) {
        advance(nowMillis);
        level = Math.min(burst, level + unused);
    }

    private void advance(long nowMillis) {
        level = Math.min(burst, level + (nowMillis - atMillis) * ratePerSecond / MILLIS_PER_SECOND);
        atMillis = nowMillis;
    }
}
