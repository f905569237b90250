package io.vanillapoint.core.fleet;

/** Life cycle states of an entry VM. Immutable. */
public enum MemberState {
    /** Runs, but has no configuration yet. */
    STARTING(false),
    /** Accepts requests. */
    READY(true),
    /** Finishes its running requests. */
    DRAINING(false),
    /** Was shut down on purpose. */
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
