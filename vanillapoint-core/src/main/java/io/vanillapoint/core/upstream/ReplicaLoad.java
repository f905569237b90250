package io.vanillapoint.core.upstream;

import io.vanillapoint.core.fleet.UpstreamSignals.Slowdown;
import java.util.Optional;

/**
 * How much the machine of a replica slows its work down, from the replica's reports to this VM and
 * to others.
 *
 * <p>Handles replicas that share their machines with other work and slow down for some hundred
 * milliseconds: the last report loses its weight with a time constant of 300 ms, after which the
 * usual value of the replica, a slow average of its reports, is the best estimate. Invariant: a
 * report is never replaced by an older one. Confined to one thread.
 */
final class ReplicaLoad {
    private static final double CONFIDENCE_MILLIS = 300;

    /** After this time, less than a thirtieth of a report's weight is left. */
    private static final long OUTDATED_MILLIS = 1_000;

    /** Weight of the newest report in the usual value. */
    private static final double NEWEST_REPORT_WEIGHT = 0.02;

    private static final int AS_USUAL_PERCENT = 100;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private double usualPercent = AS_USUAL_PERCENT;
    private int percent = AS_USUAL_PERCENT;
    private long reportedMillis = NEVER;
    private int ownPercent = AS_USUAL_PERCENT;
    private long ownReportedMillis = NEVER;

    /** Records what the replica has reported to this VM; nothing if it reports no slowdown. */
    void reported(LoadReport report, long nowMillis) {
        if (report.slowdownPercent().isPresent()) {
            ownPercent = report.slowdownPercent().getAsInt();
            ownReportedMillis = nowMillis;
            apply(ownPercent, nowMillis);
        }
    }

    /** Records what the replica has reported to another VM. */
    void merge(Slowdown slowdown, long nowMillis) {
        apply(
                Math.min(LoadReport.MAX_SLOWDOWN_PERCENT, slowdown.percent()),
                nowMillis - slowdown.ageMillis());
    }

    private void apply(int newPercent, long atMillis) {
        if (atMillis > reportedMillis) {
            percent = newPercent;
            reportedMillis = atMillis;
            usualPercent += NEWEST_REPORT_WEIGHT * (newPercent - usualPercent);
        }
    }

    /** The last report to this VM, for the heartbeat; empty if it is outdated. */
    Optional<Slowdown> slowdown(long nowMillis) {
        long ageMillis = nowMillis - ownReportedMillis;
        return ageMillis > OUTDATED_MILLIS
                ? Optional.empty()
                : Optional.of(new Slowdown(ownPercent, (int) ageMillis));
    }

    /** Expected duration of work relative to the usual one; 1 without any report. */
    double factor(long nowMillis) {
        double confidence = Math.exp((reportedMillis - nowMillis) / CONFIDENCE_MILLIS);
        double expected = usualPercent + confidence * (percent - usualPercent);
        return expected / AS_USUAL_PERCENT;
    }

    /** The same relative to the replica's usual value, which measured times contain already. */
    double relativeFactor(long nowMillis) {
        return factor(nowMillis) * AS_USUAL_PERCENT / usualPercent;
    }

    /** Forgets the reports of the previous process of the replica. */
    void reset() {
        usualPercent = AS_USUAL_PERCENT;
        percent = AS_USUAL_PERCENT;
        reportedMillis = NEVER;
        ownReportedMillis = NEVER;
    }
}
