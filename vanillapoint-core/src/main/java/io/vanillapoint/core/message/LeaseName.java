package io.vanillapoint.core.message;

/**
 * Names one lease of a giver. Immutable.
 *
 * @param incarnation process start of the giver
 * @param sequence number of the lease within that process, from 1
 */
public record LeaseName(long incarnation, long sequence) {
    /** Stands for no lease. */
    public static final LeaseName NONE = new LeaseName(0, 0);
}
