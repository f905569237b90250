package io.vanillapoint.core.upstream;

/**
 * Keeps requests away from a replica that can't be reached, for a time that doubles with each
 * failure in a row.
 *
 * <p>Load pattern: a replica has crashed or gone silent, and the platform does not say so yet.
 * Requests that find it down cost the caller a connection time-out each, so one request at a time
 * tries it again. Confined to one thread.
 */
final class Ejection {
    /** Shorter than the restart of any process, long enough to skip a dozen requests. */
    private static final long FIRST_MILLIS = 400;

    /** Replicas come back after seconds; a longer pause would leave them idle. */
    private static final long LONGEST_MILLIS = 2_500;

    private long untilMillis = Long.MIN_VALUE;
    private long pauseMillis;

    boolean active(long nowMillis) {
        return nowMillis < untilMillis;
    }

    boolean failing() {
        return pauseMillis > 0;
    }

    void failed(long nowMillis) {
        if (active(nowMillis)) {
            return;
        }
        pauseMillis = Math.min(LONGEST_MILLIS, Math.max(FIRST_MILLIS, pauseMillis * 2));
        untilMillis = nowMillis + pauseMillis;
    }

    /** Holds others back while one request tries the replica. */
    void trial(long nowMillis) {
        untilMillis = nowMillis + FIRST_MILLIS;
    }

    void answered() {
        pauseMillis = 0;
        untilMillis = Long.MIN_VALUE;
    }
}
