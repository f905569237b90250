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
    static final long MAX_WAIT_MILLIS = 400;

    private static final double MILLIS_PER_SECOND = 1_000;

    private double tokens;
    private long refilledAtMillis;

    ColdStartGate(long nowMillis) {
        refilledAtMillis = nowMillis;
    }

    boolean hasToken(double perSecond, long nowMillis) {
        refill(perSecond, nowMillis);
        return tokens >= 1;
    }

    void consume() {
        tokens -= 1;
    }

    private void refill(double perSecond, long nowMillis) {
        double refilledTokens =
                Math.max(0, nowMillis - refilledAtMillis) * perSecond / MILLIS_PER_SECOND;
        tokens = Math.min(1, tokens + refilledTokens);
        refilledAtMillis = Math.max(refilledAtMillis, nowMillis);
    }
}
