package io.vanillapoint.entry.control;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import java.util.function.LongSupplier;

/**
 * Tells from the ends of calls whether the store is available.
 *
 * <p>Invariant: each loss is logged once, and so is its end. Times are monotonic, in milliseconds.
 * Confined to one event loop.
 */
final class StoreAvailability {
    /**
     * Entries of live replicas expire and are published again within about two seconds of the
     * store's recovery.
     */
    private static final long ENTRY_RECOVERY_MILLIS = 2_500;

    private final EventSink log;
    private final LongSupplier clock;
    private final LongSupplier revision;
    private final long answeredMillis;
    private long unavailableSinceMillis = -1;
    private long lastAnswerAtMillis;
    private long recoveredAtMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an instance for a store that has not answered yet.
     *
     * @param log records losses
     * @param clock monotonic time in milliseconds
     * @param revision last known revision of the store, for the log
     * @param answeredMillis while the store is available, two answers are no further apart
     */
    StoreAvailability(
            EventSink log, LongSupplier clock, LongSupplier revision, long answeredMillis) {
        this.log = log;
        this.clock = clock;
        this.revision = revision;
        this.answeredMillis = answeredMillis;
        lastAnswerAtMillis = -answeredMillis;
    }

    /** Tells whether the store has answered recently enough to count as available. */
    boolean answeredRecently() {
        return unavailableSinceMillis < 0
                && clock.getAsLong() - lastAnswerAtMillis < answeredMillis;
    }

    /**
     * Tells whether the store is or was unavailable until recently, so that entries of live
     * replicas may have expired.
     */
    boolean wasUnavailable() {
        return unavailableSinceMillis >= 0
                || clock.getAsLong() - recoveredAtMillis < ENTRY_RECOVERY_MILLIS;
    }

    /** Time since the store became unavailable in milliseconds, negative while it is available. */
    long unavailableMillis() {
        return unavailableSinceMillis < 0 ? -1 : clock.getAsLong() - unavailableSinceMillis;
    }

    /** The store answered this VM. */
    void answered() {
        lastAnswerAtMillis = clock.getAsLong();
        available();
    }

    /** The store is available, to this VM or to the VMs that read it for this one. */
    void available() {
        if (unavailableSinceMillis >= 0) {
            long unavailable = clock.getAsLong() - unavailableSinceMillis;
            unavailableSinceMillis = -1;
            recoveredAtMillis = clock.getAsLong();
            log.record(EventCode.STORE_REGAINED, revision.getAsLong(), unavailable);
        }
    }

    /** An answer shows that the store was unavailable although no call failed. */
    void recovered() {
        recoveredAtMillis = clock.getAsLong();
    }

    /** A call failed. */
    void lost(Throwable cause) {
        if (unavailableSinceMillis < 0) {
            unavailableSinceMillis = clock.getAsLong();
            log.record(EventCode.STORE_LOST, cause.getMessage(), revision.getAsLong());
        }
    }
}
