package io.vanillapoint.server;

import java.util.concurrent.TimeUnit;

/** The process's monotonic clock. Stateless. */
public final class MonotonicTime {
    private MonotonicTime() {}

    /**
     * Reads the clock.
     *
     * @return milliseconds since a moment that stays the same while the process runs
     */
    public static long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
