package io.vanillapoint.server;

import java.util.concurrent.TimeUnit;

/** Monotonic clock of the process. Stateless. */
public final class MonotonicTime {
    private MonotonicTime() {}

    /**
     * Reads the clock.
     *
     * @return milliseconds since an arbitrary origin that is fixed for the life of the process
     */
    public static long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
