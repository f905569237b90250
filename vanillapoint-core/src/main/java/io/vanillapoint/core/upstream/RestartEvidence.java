package io.vanillapoint.core.upstream;

/** What a replica's answer to a probe tells about a restart under its id. Immutable. */
public enum RestartEvidence {
    /** It has run since the start that its entry names. */
    SAME_START,
    /** It has started later than its entry says. */
    RESTARTED,
    /** The answer or the entry names no start, or the answer is that of an earlier process. */
    UNKNOWN;

    /** Start time of an entry that names none. */
    private static final long NO_START = 0;

    /**
     * Compares the start times of an entry and of an answer.
     *
     * @param publishedMillis start time in the entry, 0 if it names none
     * @param answeredMillis start time in the answer, 0 if it names none
     * @return the evidence
     */
    static RestartEvidence of(long publishedMillis, long answeredMillis) {
        if (publishedMillis == NO_START || answeredMillis < publishedMillis) {
            return UNKNOWN;
        }
        return answeredMillis == publishedMillis ? SAME_START : RESTARTED;
    }
}
