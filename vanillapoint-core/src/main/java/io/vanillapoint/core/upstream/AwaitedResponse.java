package io.vanillapoint.core.upstream;

import java.util.OptionalInt;

/**
 * One request at a replica, from its sending until the first byte of its response.
 *
 * <p>Invariant: the request counts at most once as unanswered. Confined to one thread.
 */
public final class AwaitedResponse {
    /** Silence before a stream that is no evidence, whatever the expected time. */
    private static final long MIN_STREAM_SILENCE_MILLIS = 400;

    /** The same for a plain request, whose response begins only when its work is done. */
    private static final long MIN_PLAIN_SILENCE_MILLIS = 1_000;

    /** Multiple of the expected time after which a response is unusually late. */
    private static final int LATE_MULTIPLE = 3;

    private final SilenceEvidence evidence;
    private final long expectedMillis;
    private final OptionalInt urgency;
    private final long sentAtMillis;
    private boolean counted;
    private boolean over;

    AwaitedResponse(
            SilenceEvidence evidence, long expectedMillis, OptionalInt urgency, long sentAtMillis) {
        this.evidence = evidence;
        this.expectedMillis = expectedMillis;
        this.urgency = urgency;
        this.sentAtMillis = sentAtMillis;
    }

    /**
     * Time to the first byte that was expected when the request was sent.
     *
     * @return milliseconds
     */
    public long expectedMillis() {
        return expectedMillis;
    }

    /**
     * Tells whether the response is still awaited and the request does not count as unanswered.
     *
     * @return true while a check may change something
     */
    public boolean pending() {
        return !over && !counted;
    }

    /**
     * Tells whether the request counts as unanswered.
     *
     * @return false if its response has begun after all
     */
    public boolean unanswered() {
        return counted;
    }

    /**
     * Counts the request as unanswered if its silence lasts longer than the replica's queue and the
     * usual variation explain.
     *
     * @param nowMillis monotonic time
     * @return true if it is counted by this call
     */
    public boolean check(long nowMillis) {
        return count(Math.max(explainedMillis(), evidence.usualLimitMillis()), nowMillis);
    }

    /**
     * Records that nobody waits for the response any longer, though nothing of it has arrived.
     *
     * @param nowMillis monotonic time
     * @return true if the request is counted as unanswered by this call
     */
    public boolean abandoned(long nowMillis) {
        boolean countedNow = count(explainedMillis(), nowMillis);
        ended();
        return countedNow;
    }

    /**
     * Records that the response has begun; later calls have no effect.
     *
     * @param nowMillis monotonic time
     */
    public void answered(long nowMillis) {
        if (!over) {
            over = true;
            evidence.answered(this, counted, nowMillis);
            counted = false;
        }
    }

    /**
     * Records that the replica has rejected the request, which tells nothing of the requests that
     * wait in its queue; later calls have no effect.
     *
     * @param nowMillis monotonic time
     */
    public void rejected(long nowMillis) {
        if (!over) {
            over = true;
            evidence.rejected(this, counted, nowMillis);
            counted = false;
        }
    }

    /** Records that the request has ended in a way that says nothing of silence. */
    public void ended() {
        if (!over) {
            over = true;
            evidence.ended(this);
        }
    }

    /** Rank in the queue of an engine, empty for a plain request. */
    OptionalInt urgency() {
        return urgency;
    }

    long sentAtMillis() {
        return sentAtMillis;
    }

    private long explainedMillis() {
        long minMillis = urgency.isPresent() ? MIN_STREAM_SILENCE_MILLIS : MIN_PLAIN_SILENCE_MILLIS;
        return Math.max(minMillis, LATE_MULTIPLE * expectedMillis);
    }

    private boolean count(double silenceMillis, long nowMillis) {
        boolean unexplained =
                pending()
                        && nowMillis - sentAtMillis >= silenceMillis
                        && evidence.unexplained(this, silenceMillis, nowMillis);
        if (unexplained) {
            counted = true;
            evidence.count(this, nowMillis);
        }
        return unexplained;
    }
}
