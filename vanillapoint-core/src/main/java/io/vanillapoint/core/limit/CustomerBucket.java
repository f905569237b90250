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
    private static final double LOW_FILL = 0.5;
    private static final long TRANSFER_MILLIS = 1_000;
    private static final long EMPTY_PAUSE_MILLIS = 500;

    private final TokenBucket bucket = new TokenBucket();
    private double ratePerSecond;
    private double burst;
    private double wantedRatePerSecond;
    private double wantedBurst;
    private long settledAtMillis;
    private double share;
    private long advancedAtNanos;
    private long transferEndMillis = NO_TRANSFER;
    private double transferRoom;
    private long nextTransferMillis = Long.MIN_VALUE;

    CustomerBucket(TokenGrant grant, double regionShare, ClockReading now) {
        this.wantedRatePerSecond = grant.ratePerSecond() * regionShare;
        this.wantedBurst = grant.burst() * regionShare;
        this.ratePerSecond = wantedRatePerSecond;
        this.burst = wantedBurst;
        this.advancedAtNanos = now.monotonicNanos();
    }

    TokenBucket bucket() {
        return bucket;
    }

    double share() {
        return share;
    }

    /** Changes the grant. The caller must have advanced the bucket to {@code now}. */
    void change(TokenGrant grant, double regionShare, ClockReading now, long settlingMillis) {
        double newRate = grant.ratePerSecond() * regionShare;
        double newBurst = grant.burst() * regionShare;
        if (newRate == wantedRatePerSecond && newBurst == wantedBurst) {
            return;
        }
        wantedRatePerSecond = newRate;
        wantedBurst = newBurst;
        ratePerSecond = Math.min(ratePerSecond, newRate);
        burst = Math.min(burst, newBurst);
        settledAtMillis = now.monotonicMillis() + settlingMillis;
        resize();
    }

    /**
     * Starts a transfer from another region if the bucket is less than half full and no transfer is
     * in progress. Capacity is reserved for the tokens until the transfer completes or times out.
     *
     * @return tokens to request, 0 for none
     */
    double planTransfer(ClockReading now) {
        endLateTransfer(now);
        double wanted = LOW_FILL * bucket.cap() - bucket.level();
        boolean possible = transferEndMillis == NO_TRANSFER && wanted > 0;
        if (!possible || now.monotonicMillis() < nextTransferMillis) {
            return 0;
        }
        transferRoom = wanted;
        transferEndMillis = now.monotonicMillis() + TRANSFER_MILLIS;
        bucket.holdRoom(transferRoom);
        return wanted;
    }

    /** Completes the transfer in progress; tokens that arrive after its timeout are dropped. */
    void endTransfer(ClockReading now, double tokens) {
        endLateTransfer(now);
        if (transferEndMillis == NO_TRANSFER) {
            return;
        }
        transferEndMillis = NO_TRANSFER;
        bucket.holdRoom(0);
        bucket.giveBack(Math.min(tokens, transferRoom));
        if (tokens <= 0) {
            nextTransferMillis = now.monotonicMillis() + EMPTY_PAUSE_MILLIS;
        }
    }

    /** Tokens above the level below which this bucket requests a transfer itself. */
    double surplus() {
        return Math.max(0, bucket.level() - LOW_FILL * bucket.cap());
    }

    private void endLateTransfer(ClockReading now) {
        if (transferEndMillis != NO_TRANSFER && now.monotonicMillis() >= transferEndMillis) {
            transferEndMillis = NO_TRANSFER;
            bucket.holdRoom(0);
        }
    }

    /** Adds the inflow since the last call, then applies the new grant if it has settled. */
    void advance(ClockReading now, double drift) {
        bucket.advance((now.monotonicNanos() - advancedAtNanos) * (1 - drift));
        advancedAtNanos = Math.max(advancedAtNanos, now.monotonicNanos());
        boolean settled = now.monotonicMillis() >= settledAtMillis;
        if (settled && (ratePerSecond != wantedRatePerSecond || burst != wantedBurst)) {
            ratePerSecond = wantedRatePerSecond;
            burst = wantedBurst;
            resize();
        }
    }

    /**
     * Sets the share that the VM holds for the customer. A smaller share is applied from the last
     * call on, because the VM may detect the end of a lease late.
     */
    void share(double newShare, ClockReading now, double drift) {
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
        bucket.resize(ratePerSecond * share, burst * share);
    }
}
