package io.vanillapoint.core.upstream;

/**
 * Ejects a replica that can't be reached, for a time that doubles with each consecutive failure.
 *
 * <p>Handles a replica that has crashed or stopped responding before the platform reports it. Each
 * request to it costs the caller a connection timeout, so only one request at a time probes it. A
 * replica that failed more than once may have restarted under its id, cold, before its new entry
 * has reached this VM; it counts as possibly cold until that entry must have arrived. Confined to
 * one thread.
 */
final class Ejection {
    /** Shorter than any process restart, long enough to skip a dozen requests. */
    private static final long INITIAL_MILLIS = 400;

    /** Replicas recover within seconds; a longer ejection would leave them idle. */
    private static final long MAX_MILLIS = 2_500;

    /** Consecutive failures after which the replica may have crashed and restarted. */
    private static final int RESTART_SUSPICION_FAILURES = 2;

    /** Time for an entry to reach all VMs of the largest region, with one lost heartbeat. */
    private static final long ENTRY_PROPAGATION_MILLIS = 3_000;

    /**
     * Time since this VM's last failed attempt after which it probes even if it may not send to a
     * cold replica, since only its own network path may be broken.
     */
    private static final long PROBE_DELAY_MILLIS = 5_000;

    /** Delay between the probes of two VMs, since the replica may just have restarted cold. */
    private static final long PROBE_STAGGER_MILLIS = 600;

    private long ejectedUntilMillis = Long.MIN_VALUE;
    private long durationMillis;
    private int failures;
    private long failedAtMillis;
    private long maybeRestartedUntilMillis = Long.MIN_VALUE;

    boolean active(long nowMillis) {
        return nowMillis < ejectedUntilMillis;
    }

    boolean failing() {
        return durationMillis > 0;
    }

    /** Tells whether the replica may have restarted and so be cold. */
    boolean mayHaveRestarted(long nowMillis) {
        return failures >= RESTART_SUSPICION_FAILURES || nowMillis < maybeRestartedUntilMillis;
    }

    /** Tells whether this VM may probe regardless of cold-start ownership; VMs do so in turn. */
    boolean mayProbe(int turn, long nowMillis) {
        long wait = PROBE_DELAY_MILLIS + turn * PROBE_STAGGER_MILLIS;
        return failures >= RESTART_SUSPICION_FAILURES && nowMillis - failedAtMillis >= wait;
    }

    void failed(long nowMillis) {
        failedAtMillis = nowMillis;
        failures++;
        if (active(nowMillis)) {
            return;
        }
        durationMillis = Math.min(MAX_MILLIS, Math.max(INITIAL_MILLIS, durationMillis * 2));
        ejectedUntilMillis = nowMillis + durationMillis;
    }

    /** Blocks other requests while one probes the replica. */
    void probeSent(long nowMillis) {
        ejectedUntilMillis = nowMillis + INITIAL_MILLIS;
    }

    void answered(long nowMillis) {
        if (failures >= RESTART_SUSPICION_FAILURES) {
            maybeRestartedUntilMillis = nowMillis + ENTRY_PROPAGATION_MILLIS;
        }
        failures = 0;
        durationMillis = 0;
        ejectedUntilMillis = Long.MIN_VALUE;
    }

    /** Clears the state, since a new entry replaces what this VM has inferred. */
    void reset() {
        failures = 0;
        durationMillis = 0;
        ejectedUntilMillis = Long.MIN_VALUE;
        maybeRestartedUntilMillis = Long.MIN_VALUE;
    }
}
