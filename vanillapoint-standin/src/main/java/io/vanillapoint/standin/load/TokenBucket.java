package io.vanillapoint.standin.load;

/**
 * Token bucket of one customer with its declared rate and burst, kept by the load client. It gives
 * the number of requests that an ideal system would serve; the shortfall of answered requests
 * counts as wrongfully refused. Confined to one thread.
 */
final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double ratePerSecond;
    private final double burst;
    private double level;
    private long updatedMillis;

    TokenBucket(double ratePerSecond, double burst, long nowMillis) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.level = burst;
        this.updatedMillis = nowMillis;
    }

    /** Takes the tokens of a request to send; returns false if the bucket holds too few. */
    boolean reserve(double tokens, long nowMillis) {
        advance(nowMillis);
        if (level < tokens) {
            return false;
        }
        level -= tokens;
        return true;
    }

    /** Returns unused tokens to the bucket; a negative number takes more. */
    void settle(double unused, long nowMillis) {
        advance(nowMillis);
        level = Math.min(burst, level + unused);
    }

    private void advance(long nowMillis) {
        level =
                Math.min(
                        burst,
                        level + (nowMillis - updatedMillis) * ratePerSecond / MILLIS_PER_SECOND);
        updatedMillis = nowMillis;
    }
}
