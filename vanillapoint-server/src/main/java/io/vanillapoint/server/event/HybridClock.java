package io.vanillapoint.server.event;

import io.vanillapoint.api.event.HybridTimestamp;
import java.util.function.LongSupplier;

/**
 * Hybrid logical clock of one process.
 *
 * <p>Invariant: each timestamp is later than all timestamps issued or observed before. Observed
 * timestamps too far ahead of the wall clock are ignored as invalid. Safe for use by several
 * threads.
 */
public final class HybridClock {
    private static final long MAX_AHEAD_MILLIS = 60_000;
    private static final int COUNTER_BITS = 16;
    private static final long COUNTER_MASK = (1 << COUNTER_BITS) - 1;

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
     * Issues a timestamp.
     *
     * @return a new timestamp
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
     * Advances the clock to another process's timestamp.
     *
     * @param observed the timestamp
     */
    public synchronized void observe(HybridTimestamp observed) {
        boolean credible = observed.wallMillis() - wallMillis.getAsLong() <= MAX_AHEAD_MILLIS;
        if (credible && observed.compareTo(last) > 0) {
            last = observed;
        }
    }

    /**
     * Issues a timestamp for a message.
     *
     * @return 48 bits of wall time, then 16 bits of counter
     */
    public long nextPacked() {
        HybridTimestamp timestamp = next();
        return (timestamp.wallMillis() << COUNTER_BITS)
                | Math.min(timestamp.counter(), COUNTER_MASK);
    }

    /**
     * Advances the clock to the timestamp of a received message.
     *
     * @param packed 48 bits of wall time, then 16 bits of counter
     */
    public void observePacked(long packed) {
        observe(new HybridTimestamp(packed >>> COUNTER_BITS, (int) (packed & COUNTER_MASK)));
    }
}
