package io.vanillapoint.entry.control;

/**
 * Start-up, shutdown and housekeeping times of an entry VM. Immutable.
 *
 * @param directorySeconds how long callers may cache a directory answer, in seconds
 * @param hearMillis time after start-up within which heartbeats of all VMs arrive; the directory
 *     does not answer before
 * @param settleMillis time after the stop request during which callers may still connect, because
 *     they cache directory answers
 * @param acceptMillis time after the stop request from which new requests are refused
 * @param reserveMillis safety margin before the time at which the process is killed
 * @param lastWriteMillis part of that margin during which the last answers may still be written
 * @param tickMillis interval of the housekeeping tick, which flushes log lines and measures the
 *     delay of the event loop
 */
public record EntryTuning(
        int directorySeconds,
        long hearMillis,
        long settleMillis,
        long acceptMillis,
        long reserveMillis,
        long lastWriteMillis,
        long tickMillis) {
    /** Values for platforms that allow eight seconds to stop. */
    public static final EntryTuning DEFAULT = new EntryTuning(2, 700, 2_000, 2_800, 400, 150, 200);
}
