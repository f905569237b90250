package io.vanillapoint.core.fleet;

/** Occasions on which a VM sends a report to other VMs. Immutable. */
public enum ReportKind {
    /**
     * A regular heartbeat. Each names one other VM, so that all VMs know each other within seconds.
     */
    BEAT(1),
    /** A report to a VM that knows fewer others; names as many as fit. */
    GREETING(Integer.MAX_VALUE),
    /** The sender's own state has changed. */
    ANNOUNCEMENT(0);

    private final int maxMembers;

    ReportKind(int maxMembers) {
        this.maxMembers = maxMembers;
    }

    /**
     * Maximum number of other VMs that a report names, as far as they fit.
     *
     * @return number
     */
    public int maxMembers() {
        return maxMembers;
    }
}
