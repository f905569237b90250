package io.vanillapoint.core.upstream;

/** Why a request was not placed on any replica. Immutable. */
public enum RefusalReason {
    /** No replica of the service is published in a permitted region. */
    NO_REPLICA("no_replica"),
    /** All replicas are cold, have been tried, or are reached only through VMs without room. */
    ALL_REPLICAS_BUSY("all_replicas_busy"),
    /** This VM reaches no replica of its region, and no other VM can place the request. */
    REPLICAS_UNREACHABLE("replicas_unreachable"),
    /** All replicas have requested a backoff. */
    REPLICAS_QUIET("replicas_quiet"),
    /** Every engine has as much work of its kind as more urgent requests leave capacity for. */
    LONG_PROMPT_LIMIT("long_prompt_limit"),
    /** Every replica is expected to answer too late. */
    TOO_LATE("too_late");

    private final String text;

    RefusalReason(String text) {
        this.text = text;
    }

    /**
     * Stable name for logs.
     *
     * @return lower-case text
     */
    public String text() {
        return text;
    }
}
