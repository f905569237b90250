package io.vanillapoint.entry.control;

/**
 * Start-up, shutdown and housekeeping times of an entry VM. Immutable.
 *
 * @param directoryTtlSeconds how long callers may cache a directory response, in seconds
 * @param membershipWarmupMillis time after start-up within which heartbeats of all VMs arrive; the
 *     directory does not answer before
 * @param minDrainMillis time after the stop request during which callers may still connect, because
 *     they cache directory responses
 * @param admitAllMillis time after the stop request from which only requests are admitted that end
 *     before the process does
 * @param killMarginMillis safety margin before the time at which the process is killed
 * @param closeTimeoutMillis part of that margin during which the last responses may still be
 *     written
 * @param tickMillis interval of the housekeeping tick, which flushes log lines and measures the
 *     delay of the event loop
 */
public record EntryTuning(
        int directoryTtlSeconds,
        long membershipWarmupMillis,
        long minDrainMillis,
        long admitAllMillis,
        long killMarginMillis,
        long closeTimeoutMillis,
        long tickMillis) {
    /** Values for platforms that allow eight seconds to stop. */
    public static final EntryTuning DEFAULT = new EntryTuning(2, 700, 2_000, 2_800, 400, 150, 200);
}
