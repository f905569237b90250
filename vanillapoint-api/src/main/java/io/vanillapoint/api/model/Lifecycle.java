package io.vanillapoint.api.model;

/** Whether a VM or an upstream takes new work. Immutable. */
public enum Lifecycle {
    /** Takes new work. */
    LIVE(true),
    /** Finishes what it has and takes nothing new. */
    LEAVING(false);

    private final boolean takesNewWork;

    Lifecycle(boolean takesNewWork) {
        this.takesNewWork = takesNewWork;
    }

    /**
     * Tells whether new work may be sent.
     *
     * @return true if it may
     */
    public boolean takesNewWork() {
        return takesNewWork;
    }
}
