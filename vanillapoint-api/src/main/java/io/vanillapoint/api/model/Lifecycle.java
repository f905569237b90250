package io.vanillapoint.api.model;

/** Whether a VM or an upstream accepts new requests. Immutable. */
public enum Lifecycle {
    /** Accepts new requests. */
    LIVE(true),
    /** Finishes its running requests and accepts no new ones. */
    LEAVING(false);

    private final boolean acceptsRequests;

    Lifecycle(boolean acceptsRequests) {
        this.acceptsRequests = acceptsRequests;
    }

    /**
     * Tells whether new requests may be sent.
     *
     * @return true if they may
     */
    public boolean acceptsRequests() {
        return acceptsRequests;
    }
}
