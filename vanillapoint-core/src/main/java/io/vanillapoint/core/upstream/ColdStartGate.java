package io.vanillapoint.core.upstream;

/**
 * Token bucket that limits this VM's requests to one cold replica.
 *
 * <p>Only a few VMs, the owners, may send to a cold replica. Each has a burst of one request and
 * refills at its part of the rate, and no request arrives later than half a second after it was
 * admitted, so at most {@code owners + 1.5 * rate} requests arrive in one second. The bucket starts
 * empty, since the previous process on this VM may have sent a request just before it ended.
 * Confined to one thread.
 */
final class ColdStartGate {
    /** Half a second, less the network delay to the replica over a link that gets congested. */
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
