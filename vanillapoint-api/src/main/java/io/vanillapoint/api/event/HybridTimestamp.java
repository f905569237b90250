package io.vanillapoint.api.event;

/**
 * Timestamp of a hybrid logical clock: wall time that is never behind a timestamp received from
 * another process. Immutable.
 *
 * @param wallMillis milliseconds since 1970
 * @param counter order among timestamps of the same millisecond
 */
public record HybridTimestamp(long wallMillis, int counter) implements Comparable<HybridTimestamp> {
    @Override
    public int compareTo(HybridTimestamp other) {
        int byWall = Long.compare(wallMillis, other.wallMillis);
        return byWall != 0 ? byWall : Integer.compare(counter, other.counter);
    }
}
