package io.vanillapoint.api.error;

/** Whether a request was run by an upstream, as far as is known. Immutable. */
public enum RunState {
    /** No upstream has run the request, and none will. */
    NOT_RUN("not_run"),
    /** An upstream has run the request. */
    RAN("ran"),
    /** An upstream may have run the request. */
    UNKNOWN("unknown");

    private final String text;

    RunState(String text) {
        this.text = text;
    }

    /**
     * Text used in messages to callers.
     *
     * @return lower-case text
     */
    public String text() {
        return text;
    }
}
