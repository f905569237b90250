package io.vanillapoint.core.upstream;

import java.util.OptionalInt;

/**
 * Load that a replica reports in a response. Immutable.
 *
 * @param running requests that it runs, 0 or more
 * @param waiting requests that wait in its queue, 0 or more
 * @param slots requests that it can run at once, 0 or more
 * @param slowdownPercent current duration of work on its machine relative to the usual one, from 1
 *     to {@link #MAX_SLOWDOWN_PERCENT}; 100 means as usual; empty if the replica reports none
 */
public record LoadReport(int running, int waiting, int slots, OptionalInt slowdownPercent) {
    /** Largest plausible slowdown. */
    public static final int MAX_SLOWDOWN_PERCENT = 10_000;

    /**
     * Checks the figures.
     *
     * @throws IllegalArgumentException if a figure is out of range
     */
    public LoadReport {
        if (running < 0 || waiting < 0 || slots < 0) {
            throw new IllegalArgumentException("expected figures of 0 or more");
        }
        if (slowdownPercent.isPresent()
                && (slowdownPercent.getAsInt() < 1
                        || slowdownPercent.getAsInt() > MAX_SLOWDOWN_PERCENT)) {
            throw new IllegalArgumentException(
                    "expected a slowdown from 1 to " + MAX_SLOWDOWN_PERCENT + " percent");
        }
    }
}
