package io.vanillapoint.core.upstream;

/**
 * Backoff that a replica requested from this VM, followed by a single probe request.
 *
 * <p>Handles a full replica that tells each VM it rejects for how long to send nothing. All VMs
 * receive much the same time, so each adds random jitter before its probe; its other requests
 * follow once the replica has accepted the probe. Confined to one thread.
 */
final class ReplicaBackoff {
    /** Longest backoff that is applied: a mistyped value must not remove a replica for good. */
    static final long MAX_MILLIS = 600_000;

    /** Time within which the replica accepts or rejects the probe. */
    private static final long PROBE_MILLIS = 400;

    private long requestedUntilMillis = Long.MIN_VALUE;
    private long blockedUntilMillis = Long.MIN_VALUE;
    private boolean acceptancePending;

    /**
     * Starts or extends the backoff. A shorter request does not end a longer one.
     *
     * @return the backoff that is applied, without jitter, in milliseconds
     */
    long request(long millis, long jitterMillis, long nowMillis) {
        long appliedMillis = Math.min(MAX_MILLIS, Math.max(0, millis));
        requestedUntilMillis = Math.max(requestedUntilMillis, nowMillis + appliedMillis);
        blockedUntilMillis = Math.max(blockedUntilMillis, requestedUntilMillis + jitterMillis);
        acceptancePending = true;
        return appliedMillis;
    }

    /** Tells whether the requested backoff is active, without jitter. */
    boolean requested(long nowMillis) {
        return nowMillis < requestedUntilMillis;
    }

    /** Tells whether requests are blocked by the backoff, its jitter or a pending probe. */
    boolean blocked(long nowMillis) {
        return nowMillis < blockedUntilMillis;
    }

    long remainingMillis(long nowMillis) {
        return blocked(nowMillis) ? blockedUntilMillis - nowMillis : 0;
    }

    /** Blocks further requests while the first one after a backoff is pending. */
    void requestSent(long nowMillis) {
        if (acceptancePending) {
            blockedUntilMillis = Math.max(blockedUntilMillis, nowMillis + PROBE_MILLIS);
        }
    }

    /**
     * Ends the probe phase. Does nothing while the requested backoff is active, since the accepted
     * request was then sent before the backoff began.
     */
    void requestAccepted(long nowMillis) {
        if (acceptancePending && !requested(nowMillis)) {
            acceptancePending = false;
            blockedUntilMillis = nowMillis;
        }
    }

    void reset() {
        requestedUntilMillis = Long.MIN_VALUE;
        blockedUntilMillis = Long.MIN_VALUE;
        acceptancePending = false;
    }
}
