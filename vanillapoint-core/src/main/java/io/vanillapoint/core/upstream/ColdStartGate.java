package io.vanillapoint.core.upstream;

/**
 * Lets requests through to one cold replica at this VM's part of its rate.
 *
 * <p>Safety argument: only a few VMs, the owners, may send to a cold replica at all. Each of them
 * sends at most one request at once and then its part of the rate, and none arrives later than half
 * a second after it passed, so that in one second at most {@code owners + 1.5 * rate} requests
 * arrive. Starts empty, since the process before this one may have just sent. Confined to one
 * thread.
 */
final class ColdStartGate {
    /** Half a second, less the way to the replica over a link that is filling up. */
    static final long MOST_WAIT_MILLIS = 400;

    private static final double MILLIS_PER_SECOND = 1_000;

    private double level;
    private long atMillis;

    ColdStartGate(long nowMillis) {
        atMillis = nowMillis;
    }

    boolean open(double perSecond, long nowMillis) {
        advance(perSecond, nowMillis);
        return level >= 1;
    }

    void pass() {
        level -= 1;
    }

    private void advance(double perSecond, long nowMillis) {
        double inflow = Math.max(0, nowMillis - atMillis) * perSecond / MILLIS_PER_SECOND;
        level = Math.min(1, level + inflow);
        atMillis = Math.max(atMillis, nowMillis);
    }
}
