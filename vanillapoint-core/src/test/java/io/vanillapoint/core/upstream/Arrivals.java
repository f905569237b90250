package io.vanillapoint.core.upstream;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts the requests that reach a replica, in a sliding window of one second. */
final class Arrivals {
    private static final long WINDOW_MILLIS = 1_000;

    private final Deque<Long> window = new ArrayDeque<>();
    private int mostInASecond;
    private int count;

    /** Counts a request; times must not decrease. */
    void add(long atMillis) {
        window.addLast(atMillis);
        while (window.getFirst() <= atMillis - WINDOW_MILLIS) {
            window.removeFirst();
        }
        mostInASecond = Math.max(mostInASecond, window.size());
        count++;
    }

    /** Largest count in any window. */
    double mostInASecond() {
        return mostInASecond;
    }

    /** Total count. */
    int count() {
        return count;
    }
}
