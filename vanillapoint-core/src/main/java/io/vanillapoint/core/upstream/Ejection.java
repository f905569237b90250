package io.vanillapoint.core.upstream;

/**
 * Keeps requests away from a replica that can't be reached, for a time that doubles with each
 * failure in a row.
 *
 * <p>Load pattern: a replica has crashed or gone silent, and the platform does not say so yet.
 * Requests that find it down cost the caller a connection time-out each, so one request at a time
 * tries it again. One that failed more than once may be back under its id, cold, before its new
 * entry has reached this VM; it is told apart from a warm one for as long as that takes. Confined
 * to one thread.
 */
final class Ejection {
    /** Shorter than the restart of any process, long enough to skip a dozen requests. */
    private static final long FIRST_MILLIS = 400;

    /** Replicas come back after seconds; a longer pause would leave them idle. */
    private static final long LONGEST_MILLIS = 2_500;

    /** Failures in a row after which the replica may have crashed and started again. */
    private static final int RESTART_FAILURES = 2;

    /** An entry reaches all VMs of the largest region within this time, with a lost heartbeat. */
    private static final long ENTRY_MILLIS = 3_000;

    /** Time after which VMs try by themselves, since only their own way there may be broken. */
    private static final long OWN_WAY_MILLIS = 5_000;

    /** Time between two VMs that try, since the replica may have come back cold just now. */
    private static final long TURN_MILLIS = 600;

    private long untilMillis = Long.MIN_VALUE;
    private long pauseMillis;
    private int failures;
    private long failedAtMillis;
    private long restartedUntilMillis = Long.MIN_VALUE;

    boolean active(long nowMillis) {
        return nowMillis < untilMillis;
    }

    boolean failing() {
        return pauseMillis > 0;
    }

    /** Tells whether the replica may have started again, so that it may be cold. */
    boolean mayHaveRestarted(long nowMillis) {
        return failures >= RESTART_FAILURES || nowMillis < restartedUntilMillis;
    }

    /** Tells whether it is time to try whatever others do, for the VM whose turn is that. */
    boolean tryAnyway(int turn, long nowMillis) {
        long wait = OWN_WAY_MILLIS + turn * TURN_MILLIS;
        return failures >= RESTART_FAILURES && nowMillis - failedAtMillis >= wait;
    }

    void failed(long nowMillis) {
        failedAtMillis = nowMillis;
        failures++;
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

    void answered(long nowMillis) {
        if (failures >= RESTART_FAILURES) {
            restartedUntilMillis = nowMillis + ENTRY_MILLIS;
        }
        failures = 0;
        pauseMillis = 0;
        untilMillis = Long.MIN_VALUE;
    }

    /** A new entry says all that is to be known. */
    void forget() {
        failures = 0;
        pauseMillis = 0;
        untilMillis = Long.MIN_VALUE;
        restartedUntilMillis = Long.MIN_VALUE;
    }
}
