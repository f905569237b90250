package io.vanillapoint.core.upstream;

import java.util.ArrayDeque;
import java.util.Deque;

/** Requests that reach a replica, counted in each second as it slides. */
final class Arrivals {
    private static final long WINDOW_MILLIS = 1_000;

    private final Deque<Long> window = new ArrayDeque<>();
    private int mostInASecond;
    private int count;

    /** Counts a request; times never fall. */
    void add(long atMillis) {
        window.addLast(atMillis);
        while (window.getFirst() <= atMillis - WINDOW_MILLIS) {
            window.removeFirst();
        }
        mostInASecond = Math.max(mostInASecond, window.size());
        count++;
    }

    /** Largest number in any second. */
    double mostInASecond() {
        return mostInASecond;
    }

    /** All of them. */
    int count() {
        return count;
    }
}
