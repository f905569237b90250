package io.vanillapoint.core.message;

/**
 * Identifies a lease. Immutable.
 *
 * @param incarnation process start of the grantor, the VM that granted the lease
 * @param sequence sequence number of the lease within that process, from 1
 */
public record LeaseId(long incarnation, long sequence) {
    /** Represents the absence of a lease. */
    public static final LeaseId NONE = new LeaseId(0, 0);
}
