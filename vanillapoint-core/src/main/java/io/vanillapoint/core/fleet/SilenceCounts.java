package io.vanillapoint.core.fleet;

/**
 * What one VM has counted of its requests to a replica since it first left one unanswered.
 * Immutable.
 *
 * @param unanswered requests that have not been answered, without those whose response began after
 *     all
 * @param answered responses to requests that were sent since
 */
public record SilenceCounts(int unanswered, int answered) {
    /** Nothing counted. */
    public static final SilenceCounts NONE = new SilenceCounts(0, 0);

    /** Replaces negative counts, which only a malformed heartbeat has. */
    public SilenceCounts {
        unanswered = Math.max(0, unanswered);
        answered = Math.max(0, answered);
    }
}
