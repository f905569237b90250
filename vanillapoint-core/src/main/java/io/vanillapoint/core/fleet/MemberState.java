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

    private final boolean acceptsRequests;

    MemberState(boolean acceptsRequests) {
        this.acceptsRequests = acceptsRequests;
    }

    /**
     * Tells whether callers may be sent to the VM.
     *
     * @return true if they may
     */
    public boolean acceptsRequests() {
        return acceptsRequests;
    }
}
