package io.vanillapoint.server.event;

import io.vanillapoint.api.event.HybridTimestamp;
import java.util.function.LongSupplier;

/**
 * Hybrid logical clock of one process.
 *
 * <p>Invariant: each stamp is later than every stamp given or heard before. Safe for use by several
 * threads.
 */
public final class HybridClock {
    private final LongSupplier wallMillis;
    private HybridTimestamp last = new HybridTimestamp(0, 0);

    /**
     * Creates a clock.
     *
     * @param wallMillis wall time in milliseconds since 1970
     */
    public HybridClock(LongSupplier wallMillis) {
        this.wallMillis = wallMillis;
    }

    /**
     * Stamps an event.
     *
     * @return a new stamp
     */
    public synchronized HybridTimestamp next() {
        long wall = wallMillis.getAsLong();
        if (wall > last.wallMillis()) {
            last = new HybridTimestamp(wall, 0);
        } else {
            last = new HybridTimestamp(last.wallMillis(), last.counter() + 1);
        }
        return last;
    }

    /**
     * Takes note of another process's stamp.
     *
     * @param heard the stamp
     */
    public synchronized void hear(HybridTimestamp heard) {
        if (heard.compareTo(last) > 0) {
            last = heard;
        }
    }
}
