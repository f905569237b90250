package io.vanillapoint.core.upstream;

/**
 * Backoff that a replica requested from this VM, followed by a single probe request.
 *
 * <p>Handles a full replica that tells each VM it rejects for how long to send nothing. All VMs
 * receive much the same time, so each adds random jitter before its probe; its other requests
 * follow once the replica has accepted the probe. Confined to one thread.
 */
final class QuietTime {
    /** Longest backoff that is applied: a mistyped value must not remove a replica for good. */
    static final long LONGEST_MILLIS = 600_000;

    /** Time within which the replica accepts or rejects the probe. */
    private static final long TRIAL_MILLIS = 400;

    private long askedUntilMillis = Long.MIN_VALUE;
    private long heldUntilMillis = Long.MIN_VALUE;
    private boolean returning;

    /**
     * Starts or extends the backoff. A shorter request does not end a longer one.
     *
     * @return the backoff that is applied, without jitter, in milliseconds
     */
    long ask(long millis, long spreadMillis, long nowMillis) {
        long kept = Math.min(LONGEST_MILLIS, Math.max(0, millis));
        askedUntilMillis = Math.max(askedUntilMillis, nowMillis + kept);
        heldUntilMillis = Math.max(heldUntilMillis, askedUntilMillis + spreadMillis);
        returning = true;
        return kept;
    }

    /** Tells whether the requested backoff is active, without jitter. */
    boolean asked(long nowMillis) {
        return nowMillis < askedUntilMillis;
    }

    /** Tells whether requests are blocked by the backoff, its jitter or a pending probe. */
    boolean holds(long nowMillis) {
        return nowMillis < heldUntilMillis;
    }

    long leftMillis(long nowMillis) {
        return holds(nowMillis) ? heldUntilMillis - nowMillis : 0;
    }

    /** Blocks further requests while the first one after a backoff is pending. */
    void dispatched(long nowMillis) {
        if (returning) {
            heldUntilMillis = Math.max(heldUntilMillis, nowMillis + TRIAL_MILLIS);
        }
    }

    /** Ends the backoff unless it is still active: the request was then sent before it began. */
    void tookWork(long nowMillis) {
        if (returning && !asked(nowMillis)) {
            returning = false;
            heldUntilMillis = nowMillis;
        }
    }

    void forget() {
        askedUntilMillis = Long.MIN_VALUE;
        heldUntilMillis = Long.MIN_VALUE;
        returning = false;
    }
}
