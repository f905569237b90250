package io.vanillapoint.core.limit;

/**
 * Times of the limit protocol, the same on every VM of a region. Immutable.
 *
 * @param heartbeatMillis time between two heartbeats to the same VM
 * @param leaseMillis life of a lease
 * @param failureMillis silence after which a VM is no longer given customers
 * @param listLagMillis largest lag of the platform's list of VMs
 * @param settlingMillis time for which the smaller of an old and a new grant is in force
 * @param drift largest relative error of a clock, for example 0.001
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
    private static final int HEARTBEATS_TO_FAIL = 3;
    private static final long DEFAULT_LIST_LAG_MILLIS = 5_000;
    private static final long DEFAULT_SETTLING_MILLIS = 10_000;
    private static final double DEFAULT_DRIFT = 0.001;

    /**
     * Times for a region of up to nine VMs.
     *
     * @return the default times
     */
    public static LimitTiming defaults() {
        return new LimitTiming(
                DEFAULT_HEARTBEAT_MILLIS,
                DEFAULT_LEASE_MILLIS,
                HEARTBEATS_TO_FAIL * DEFAULT_HEARTBEAT_MILLIS,
                DEFAULT_LIST_LAG_MILLIS,
                DEFAULT_SETTLING_MILLIS,
                DEFAULT_DRIFT);
    }

    /**
     * The same times with another heartbeat interval; a VM fails after three without an answer.
     *
     * @param millis time between two heartbeats
     * @return this if nothing changes
     */
    public LimitTiming withHeartbeatMillis(long millis) {
        if (millis == heartbeatMillis) {
            return this;
        }
        return new LimitTiming(
                millis,
                leaseMillis,
                HEARTBEATS_TO_FAIL * millis,
                listLagMillis,
                settlingMillis,
                drift);
    }

    /**
     * The same times with another life of a lease.
     *
     * @param millis life of a lease
     * @return this if nothing changes
     */
    public LimitTiming withLeaseMillis(long millis) {
        if (millis == leaseMillis) {
            return this;
        }
        return new LimitTiming(
                heartbeatMillis, millis, failureMillis, listLagMillis, settlingMillis, drift);
    }

    /**
     * The same times with another largest lag of the list.
     *
     * @param millis largest lag
     * @return this if nothing changes
     */
    public LimitTiming withListLagMillis(long millis) {
        if (millis == listLagMillis) {
            return this;
        }
        return new LimitTiming(
                heartbeatMillis, leaseMillis, failureMillis, millis, settlingMillis, drift);
    }

    /**
     * How long the holder of a lease may use it, counted from when it asked.
     *
     * @param durationMillis life of the lease
     * @return shorter time in milliseconds
     */
    public long holderMillis(long durationMillis) {
        return (long) Math.floor(durationMillis * (1 - drift));
    }

    /**
     * How long the giver of a lease must take it as used, counted from when it gave.
     *
     * @param durationMillis life of the lease
     * @return longer time in milliseconds
     */
    public long giverMillis(long durationMillis) {
        return (long) Math.ceil(durationMillis * (1 + drift)) + 1;
    }

    /**
     * Time after which no lease that a stopped process gave is in use.
     *
     * @return time in milliseconds
     */
    public long quarantineMillis() {
        return giverMillis(giverMillis(leaseMillis));
    }
}
