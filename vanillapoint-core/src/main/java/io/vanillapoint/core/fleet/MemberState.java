package io.vanillapoint.core.fleet;

/** Life cycle of an entry VM. Immutable. */
public enum MemberState {
    /** Runs, but knows no configuration yet. */
    STARTING(false),
    /** Takes requests. */
    READY(true),
    /** Finishes what it has. */
    DRAINING(false),
    /** Has ended on purpose. */
    GONE(false);

    private final boolean takesRequests;

    MemberState(boolean takesRequests) {
        this.takesRequests = takesRequests;
    }

    /**
     * Tells whether callers may be sent to the VM.
     *
     * @return true if they may
     */
    public boolean takesRequests() {
        return takesRequests;
    }
}
