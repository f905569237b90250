package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.TokenGrant;
import io.vanillapoint.core.time.ClockReading;

/**
 * Token bucket of one customer on one VM. Its rate and cap are the region's part of the customer's
 * grant, multiplied by the share that the VM holds for the customer.
 *
 * <p>Invariant: after a change of the grant, the smaller of the old and new values is in force for
 * the settling time. Confined to one thread.
 */
final class CustomerBucket {
    private static final long NO_TRANSFER = Long.MIN_VALUE;
    private static final double LOW_FILL_FRACTION = 0.5;
    private static final long TRANSFER_TIMEOUT_MILLIS = 1_000;
    private static final long EMPTY_TRANSFER_BACKOFF_MILLIS = 500;

    private final TokenBucket tokenBucket = new TokenBucket();
    private double ratePerSecond;
    private double burst;
    private double targetRatePerSecond;
    private double targetBurst;
    private long settlingEndMillis;
    private double share;
    private long lastAdvanceNanos;
    private long transferDeadlineMillis = NO_TRANSFER;
    private long transferId;
    private double transferCapacity;
    private long earliestTransferMillis = Long.MIN_VALUE;

    CustomerBucket(TokenGrant grant, double regionShare, ClockReading now) {
        this.targetRatePerSecond = grant.ratePerSecond() * regionShare;
        this.targetBurst = grant.burst() * regionShare;
        this.ratePerSecond = targetRatePerSecond;
        this.burst = targetBurst;
        this.lastAdvanceNanos = now.monotonicNanos();
    }

    TokenBucket tokenBucket() {
        return tokenBucket;
    }

    double share() {
        return share;
    }

    /** Changes the grant. The caller must have advanced the bucket to {@code now}. */
    void changeGrant(TokenGrant grant, double regionShare, ClockReading now, long settlingMillis) {
        double newRate = grant.ratePerSecond() * regionShare;
        double newBurst = grant.burst() * regionShare;
        if (newRate == targetRatePerSecond && newBurst == targetBurst) {
            return;
        }
        targetRatePerSecond = newRate;
        targetBurst = newBurst;
        ratePerSecond = Math.min(ratePerSecond, newRate);
        burst = Math.min(burst, newBurst);
        settlingEndMillis = now.monotonicMillis() + settlingMillis;
        resize();
    }

    /**
     * Starts a transfer from another region if the bucket is less than half full and no transfer is
     * in progress. Capacity is reserved for the tokens until the transfer completes or times out.
     *
     * @param now time
     * @param id id of the transfer, unique among those of this bucket
     * @return tokens to request, 0 for none
     */
    double startTransfer(ClockReading now, long id) {
        expireTransfer(now);
        double missing = LOW_FILL_FRACTION * tokenBucket.cap() - tokenBucket.level();
        boolean needed = transferDeadlineMillis == NO_TRANSFER && missing > 0;
        if (!needed || now.monotonicMillis() < earliestTransferMillis) {
            return 0;
        }
        transferId = id;
        transferCapacity = missing;
        transferDeadlineMillis = now.monotonicMillis() + TRANSFER_TIMEOUT_MILLIS;
        tokenBucket.reserveCapacity(transferCapacity);
        return missing;
    }

    /**
     * Completes the transfer in progress. Tokens of another transfer are dropped: it has timed out
     * or was completed before.
     */
    void completeTransfer(ClockReading now, long id, double tokens) {
        expireTransfer(now);
        if (transferDeadlineMillis == NO_TRANSFER || id != transferId) {
            return;
        }
        transferDeadlineMillis = NO_TRANSFER;
        tokenBucket.reserveCapacity(0);
        tokenBucket.returnTokens(Math.min(tokens, transferCapacity));
        if (tokens <= 0) {
            earliestTransferMillis = now.monotonicMillis() + EMPTY_TRANSFER_BACKOFF_MILLIS;
        }
    }

    /** Tokens above the level below which this bucket requests a transfer itself. */
    double surplus() {
        return Math.max(0, tokenBucket.level() - LOW_FILL_FRACTION * tokenBucket.cap());
    }

    private void expireTransfer(ClockReading now) {
        if (transferDeadlineMillis != NO_TRANSFER
                && now.monotonicMillis() >= transferDeadlineMillis) {
            transferDeadlineMillis = NO_TRANSFER;
            tokenBucket.reserveCapacity(0);
        }
    }

    /** Adds the inflow since the last call, then applies the new grant if it has settled. */
    void advance(ClockReading now, double drift) {
        tokenBucket.advance((now.monotonicNanos() - lastAdvanceNanos) * (1 - drift));
        lastAdvanceNanos = Math.max(lastAdvanceNanos, now.monotonicNanos());
        boolean settled = now.monotonicMillis() >= settlingEndMillis;
        if (settled && (ratePerSecond != targetRatePerSecond || burst != targetBurst)) {
            ratePerSecond = targetRatePerSecond;
            burst = targetBurst;
            resize();
        }
    }

    /**
     * Sets the share that the VM holds for the customer. A smaller share is applied from the last
     * call on, because the VM may detect the end of a lease late.
     */
    void updateShare(double newShare, ClockReading now, double drift) {
        if (newShare < share) {
            share = newShare;
            resize();
            advance(now, drift);
        } else if (newShare > share) {
            advance(now, drift);
            share = newShare;
            resize();
        }
    }

    private void resize() {
        tokenBucket.resize(ratePerSecond * share, burst * share);
    }
}
