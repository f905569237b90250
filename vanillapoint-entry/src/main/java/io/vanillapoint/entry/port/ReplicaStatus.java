package io.vanillapoint.entry.port;

/**
 * What a replica told of itself. Immutable.
 *
 * @param misdirected true if a replica other than the intended one answered at the address
 * @param startedAtMillis wall-clock time of its start in milliseconds since 1970, 0 if not told
 */
public record ReplicaStatus(boolean misdirected, long startedAtMillis) {
    /** Status of a replica that can be reached but tells no more. */
    public static final ReplicaStatus REACHABLE = new ReplicaStatus(false, 0);

    /** Status at an address that belongs to another replica. */
    public static final ReplicaStatus MISDIRECTED = new ReplicaStatus(true, 0);
}
