package io.vanillapoint.core.published;

import java.util.Comparator;

/**
 * Position in the history of the platform's store. A store that returns from an older copy gives
 * revisions out again in a new era, so positions are ordered by era first. Immutable.
 *
 * @param era number of times that the store has returned from a copy, as the store counts; {@link
 *     #NO_ERA} if it does not tell
 * @param revision revision of the store within the era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
    /** Era of a store, or of a VM of an earlier build, that tells none. */
    public static final long NO_ERA = 0;

    /** Stands for an era that could not be read. */
    public static final long INVALID_ERA = -1;

    /** Position of a VM that knows nothing. */
    public static final StorePosition START = new StorePosition(NO_ERA, 0);

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

    /**
     * Tells whether a position is later than another one.
     *
     * @param other the other position
     * @return true if changes lie between them
     */
    public boolean isAfter(StorePosition other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }
}
