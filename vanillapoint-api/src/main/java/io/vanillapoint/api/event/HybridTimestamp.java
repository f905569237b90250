package io.vanillapoint.api.event;

/**
 * Time stamp of a hybrid logical clock: wall time that never falls behind what was heard from
 * others. Immutable.
 *
 * @param wallMillis milliseconds since 1970
 * @param counter order among stamps of the same millisecond
 */
public record HybridTimestamp(long wallMillis, int counter) implements Comparable<HybridTimestamp> {
    @Override
    public int compareTo(HybridTimestamp other) {
        int byWall = Long.compare(wallMillis, other.wallMillis);
        return byWall != 0 ? byWall : Integer.compare(counter, other.counter);
    }
}
