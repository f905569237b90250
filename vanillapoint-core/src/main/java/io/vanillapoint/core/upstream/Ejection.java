package io.vanillapoint.core.upstream;

import java.util.OptionalLong;

/**
 * Ejects a replica that can't be reached, until a probe or a response shows that it is back.
 *
 * <p>Handles a replica that has crashed or stopped responding before the platform reports it. Each
 * request to it costs the caller a connection timeout, so the VM probes it with a status call of
 * its own. Where nothing can probe, the ejection lasts for a time that doubles with each
 * consecutive failure, and then one request at a time is a trial. A replica that failed more than
 * once may have restarted under its id, cold, before its new entry has reached this VM; it counts
 * as possibly cold until a probe tells otherwise or that entry must have arrived.
 *
 * <p>A replica may answer probes but no requests. If it fails again after a probe ended its
 * ejection, and has answered no request in between, probes do not end the next ejection.
 *
 * <p>Invariant: at most one probe is pending. Confined to one thread.
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
     * Time since this VM's last failed attempt after which it sends a trial even if it may not send
     * to a cold replica, since only its own network path may be broken.
     */
    private static final long TRIAL_DELAY_MILLIS = 5_000;

    /** Delay between the trials of two VMs, since the replica may just have restarted cold. */
    private static final long TRIAL_STAGGER_MILLIS = 600;

    /** Shortest pause between two probes, so that a replica is used soon after it is back. */
    private static final long MIN_PROBE_PAUSE_MILLIS = 300;

    /** The pause grows with the outage, of which the replica then stays unused a small part. */
    private static final long OUTAGE_PER_PROBE_PAUSE = 16;

    /**
     * Time after a probe for which no request is sent as a trial; longer than the longest pause
     * with its jitter and the time limit of a probe.
     */
    private static final long PROBE_VALID_MILLIS = 4_000;

    private long ejectedUntilMillis = Long.MIN_VALUE;
    private long durationMillis;
    private int failures;
    private long failedAtMillis;
    private long failingSinceMillis;
    private long maybeRestartedUntilMillis = Long.MIN_VALUE;
    private boolean restartShown;
    private boolean probePending;
    private boolean probeOutdated;
    private boolean probeAnsweredBefore;
    private boolean probesIgnored;
    private long probeJitterMillis;
    private long probedAtMillis;
    private long nextProbeMillis = Long.MIN_VALUE;
    private long probedUntilMillis = Long.MIN_VALUE;
    private boolean returnedByProbe;
    private boolean relapsed;

    /** When the request was sent whose connection failed first; no value while none fails. */
    private OptionalLong connectionsFailSince = OptionalLong.empty();

    boolean active(long nowMillis) {
        boolean probesDecide = !relapsed && !probesIgnored && nowMillis < probedUntilMillis;
        return (failing() && probesDecide) || nowMillis < ejectedUntilMillis;
    }

    boolean failing() {
        return durationMillis > 0;
    }

    /** Time since the first of the consecutive failures; 0 if the replica is not failing. */
    long failingMillis(long nowMillis) {
        return failing() ? nowMillis - failingSinceMillis : 0;
    }

    /** Tells whether the replica may have restarted and so be cold. */
    boolean mayHaveRestarted(long nowMillis) {
        return restartShown
                || failures >= RESTART_SUSPICION_FAILURES
                || nowMillis < maybeRestartedUntilMillis;
    }

    /** Tells whether this VM may send a trial regardless of cold-start ownership; in turn. */
    boolean mayProbe(int turn, long nowMillis) {
        long wait = TRIAL_DELAY_MILLIS + turn * TRIAL_STAGGER_MILLIS;
        return failures >= RESTART_SUSPICION_FAILURES && nowMillis - failedAtMillis >= wait;
    }

    void failed(long nowMillis) {
        if (!failing()) {
            failingSinceMillis = nowMillis;
            nextProbeMillis = nowMillis;
            relapsed = returnedByProbe;
        }
        failedAtMillis = nowMillis;
        failures++;
        if (nowMillis < ejectedUntilMillis) {
            return;
        }
        durationMillis = Math.min(MAX_MILLIS, Math.max(INITIAL_MILLIS, durationMillis * 2));
        ejectedUntilMillis = nowMillis + durationMillis;
    }

    /** Records that a connection to the replica could not be opened. */
    void connectionFailed(long sentAtMillis, long nowMillis) {
        if (connectionsFailSince.isEmpty()) {
            connectionsFailSince = OptionalLong.of(sentAtMillis);
        }
        failed(nowMillis);
    }

    /** When the first of the connections was tried that could not be opened since an answer. */
    OptionalLong connectionsFailSince() {
        return connectionsFailSince;
    }

    /** Blocks other requests while one is a trial. */
    void trialSent(long nowMillis) {
        ejectedUntilMillis = nowMillis + INITIAL_MILLIS;
    }

    /**
     * Records that the replica sent something in response to a request. An open connection may live
     * on while new ones fail.
     */
    void answered(long sentAtMillis, long nowMillis) {
        if (connectionsFailSince.isPresent() && sentAtMillis < connectionsFailSince.getAsLong()) {
            return;
        }
        if (failures >= RESTART_SUSPICION_FAILURES) {
            maybeRestartedUntilMillis = nowMillis + ENTRY_PROPAGATION_MILLIS;
            nextProbeMillis = nowMillis;
        }
        returnedByProbe = false;
        end();
    }

    /** Tells whether the replica's state is unknown and worth a probe, now or later. */
    boolean probeWanted(long nowMillis) {
        return failing() || (mayHaveRestarted(nowMillis) && !restartShown);
    }

    boolean probeDue(long nowMillis) {
        return probeWanted(nowMillis) && mayStartProbe(nowMillis);
    }

    /** Tells whether the pause since the last probe is over. */
    boolean mayStartProbe(long nowMillis) {
        return !probePending && nowMillis >= nextProbeMillis;
    }

    /** When the last probe was started. */
    long probedAtMillis() {
        return probedAtMillis;
    }

    long nextProbeMillis() {
        return nextProbeMillis;
    }

    void probeStarted(long jitterMillis, long nowMillis) {
        probePending = true;
        probeOutdated = false;
        probeJitterMillis = jitterMillis;
        probedAtMillis = nowMillis;
        probedUntilMillis = nowMillis + PROBE_VALID_MILLIS;
    }

    /** Records that the replica answered a probe. */
    void probeAnswered(RestartEvidence evidence, long nowMillis) {
        probeEnded(nowMillis);
        probeAnsweredBefore = true;
        probesIgnored = false;
        boolean trialsFailed = relapsed && durationMillis > INITIAL_MILLIS;
        if (trialsFailed) {
            return;
        }
        if (evidence == RestartEvidence.SAME_START) {
            restartShown = false;
            maybeRestartedUntilMillis = Long.MIN_VALUE;
        } else if (evidence == RestartEvidence.RESTARTED) {
            restartShown = true;
        } else if (failures >= RESTART_SUSPICION_FAILURES) {
            maybeRestartedUntilMillis = nowMillis + ENTRY_PROPAGATION_MILLIS;
        }
        failures = 0;
        if (failing() && !relapsed) {
            returnedByProbe = true;
            end();
        }
    }

    /** Records that a probe could not connect, or reached another replica at the address. */
    void probeUnreachable(long nowMillis) {
        if (!probeOutdated) {
            returnedByProbe = false;
            relapsed = false;
            probesIgnored = false;
            connectionFailed(probedAtMillis, nowMillis);
        }
        probeEnded(nowMillis);
    }

    /**
     * Records that the replica accepted a connection but did not answer the probe. One that never
     * answered a probe may not know the call, so requests are its trials.
     */
    void probeUnanswered(long nowMillis) {
        if (!probeOutdated) {
            probesIgnored = !probeAnsweredBefore;
            if (probeAnsweredBefore && failing()) {
                failed(nowMillis);
            }
        }
        probeEnded(nowMillis);
    }

    /**
     * Clears the state, since a new entry replaces what this VM has inferred. The failure of a
     * probe that is pending may be that of the process before.
     */
    void reset() {
        probeOutdated = probePending;
        maybeRestartedUntilMillis = Long.MIN_VALUE;
        restartShown = false;
        returnedByProbe = false;
        end();
    }

    private void probeEnded(long nowMillis) {
        probePending = false;
        long pause = failingMillis(nowMillis) / OUTAGE_PER_PROBE_PAUSE;
        nextProbeMillis =
                nowMillis
                        + Math.min(MAX_MILLIS, Math.max(MIN_PROBE_PAUSE_MILLIS, pause))
                        + probeJitterMillis;
    }

    private void end() {
        failures = 0;
        durationMillis = 0;
        ejectedUntilMillis = Long.MIN_VALUE;
        relapsed = false;
        connectionsFailSince = OptionalLong.empty();
    }
}
