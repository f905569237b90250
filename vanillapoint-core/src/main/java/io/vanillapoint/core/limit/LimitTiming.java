package io.vanillapoint.core.limit;

/**
 * Timing parameters of the rate limit protocol, the same on every VM of a region. Immutable.
 *
 * @param heartbeatMillis time between two heartbeats to the same VM
 * @param leaseMillis duration of a lease
 * @param failureMillis time without a message after which a VM is considered failed and is no
 *     longer the home of customers
 * @param listLagMillis maximum staleness of the platform's list of VMs
 * @param settlingMillis time after a grant change during which the smaller of the old and new grant
 *     is in force
 * @param drift maximum relative error of a clock, for example 0.001
 */
public record LimitTiming(
        long heartbeatMillis,
        long leaseMillis,
        long failureMillis,
        long listLagMillis,
        long settlingMillis,
        double drift) {
    private static final long DEFAULT_HEARTBEAT_MILLIS = 500;
    private static final long DEFAULT_LEASE_MILLIS = 2_000;
    private static final int FAILURE_HEARTBEATS = 3;
    private static final long DEFAULT_LIST_LAG_MILLIS = 5_000;
    private static final long DEFAULT_SETTLING_MILLIS = 10_000;
    private static final double DEFAULT_DRIFT = 0.001;

    /**
     * Default timing, for a region of up to nine VMs.
     *
     * @return the default timing
     */
    public static LimitTiming defaults() {
        return new LimitTiming(
                DEFAULT_HEARTBEAT_MILLIS,
                DEFAULT_LEASE_MILLIS,
                FAILURE_HEARTBEATS * DEFAULT_HEARTBEAT_MILLIS,
                DEFAULT_LIST_LAG_MILLIS,
                DEFAULT_SETTLING_MILLIS,
                DEFAULT_DRIFT);
    }

    /**
     * Returns this timing with another heartbeat interval. A VM is considered failed after three
     * intervals without a message.
     *
     * @param millis time between two heartbeats
     * @return this if the value is unchanged
     */
    public LimitTiming withHeartbeatMillis(long millis) {
        if (millis == heartbeatMillis) {
            return this;
        }
        return new LimitTiming(
                millis,
                leaseMillis,
                FAILURE_HEARTBEATS * millis,
                listLagMillis,
                settlingMillis,
                drift);
    }

    /**
     * Returns this timing with another lease duration.
     *
     * @param millis duration of a lease
     * @return this if the value is unchanged
     */
    public LimitTiming withLeaseMillis(long millis) {
        if (millis == leaseMillis) {
            return this;
        }
        return new LimitTiming(
                heartbeatMillis, millis, failureMillis, listLagMillis, settlingMillis, drift);
    }

    /**
     * Returns this timing with another maximum staleness of the list.
     *
     * @param millis maximum staleness
     * @return this if the value is unchanged
     */
    public LimitTiming withListLagMillis(long millis) {
        if (millis == listLagMillis) {
            return this;
        }
        return new LimitTiming(
                heartbeatMillis, leaseMillis, failureMillis, millis, settlingMillis, drift);
    }

    /**
     * How long the holder of a lease may use it, measured from when it requested the lease.
     * Shortened by the clock drift.
     *
     * @param durationMillis duration of the lease
     * @return time in milliseconds, less than the duration
     */
    public long holderLeaseMillis(long durationMillis) {
        return (long) Math.floor(durationMillis * (1 - drift));
    }

    /**
     * How long the grantor of a lease must treat it as in use, measured from when it was granted.
     * Extended by the clock drift.
     *
     * @param durationMillis duration of the lease
     * @return time in milliseconds, more than the duration
     */
    public long grantorLeaseMillis(long durationMillis) {
        return (long) Math.ceil(durationMillis * (1 + drift)) + 1;
    }

    /**
     * Time after which no lease granted by a stopped process can be in use.
     *
     * @return time in milliseconds
     */
    public long quarantineMillis() {
        return grantorLeaseMillis(grantorLeaseMillis(leaseMillis));
    }
}
