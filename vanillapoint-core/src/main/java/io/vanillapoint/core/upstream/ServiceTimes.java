package io.vanillapoint.core.upstream;

import io.vanillapoint.core.fleet.UpstreamUse;

/**
 * Service time of the plain requests of one service: how long a replica takes that has no other
 * requests and works at its usual speed.
 *
 * <p>Handles services and replicas of different speed, whose requests would be placed too late, or
 * at the slower replica, with one assumed time for all. Only successful responses are measured, so
 * a replica that fails or rejects requests at once does not appear fast. Medians are tracked by
 * small steps, so that single slow requests change little. Confined to one thread.
 */
public final class ServiceTimes {
    /** Assumed service time until responses have been measured. */
    static final double INITIAL_MILLIS = 45;

    /** Relative slowdown of a replica when all its slots are in use. */
    private static final double FULL_LOAD_SLOWDOWN = 0.3;

    /** Factor by which one response moves a median; 15 responses double it. */
    private static final double STEP_FACTOR = 1.05;

    /** Responses after which a replica's own median counts as much as that of its service. */
    private static final double PRIOR_SAMPLES = 8;

    private double medianMillis = INITIAL_MILLIS;

    /**
     * Time in a replica relative to that in an idle one.
     *
     * @param use requests outstanding at the replica
     * @param slots requests that the replica processes at once
     * @return 1 or more
     */
    public static double loadFactor(UpstreamUse use, int slots) {
        int usedSlots = Math.max(1, slots);
        int queued = Math.max(0, use.requests() + 1 - usedSlots);
        double utilization = (double) use.requests() / usedSlots;
        return 1 + (double) queued / usedSlots + FULL_LOAD_SLOWDOWN * Math.min(1, utilization);
    }

    private static double step(double medianMillis, double sampleMillis) {
        return sampleMillis > medianMillis
                ? medianMillis * STEP_FACTOR
                : medianMillis / STEP_FACTOR;
    }

    /** Service time at one replica. Confined to the thread of its service's times. */
    public final class Replica {
        private double ownMillis;
        private int samples;

        /**
         * Records a successful response.
         *
         * @param millis time to its first byte
         * @param factor expected time relative to that of an idle replica at its usual speed, when
         *     the request was sent
         */
        public void record(long millis, double factor) {
            double sample = Math.max(1, millis) / factor;
            ownMillis = step(samples == 0 ? medianMillis : ownMillis, sample);
            medianMillis = step(medianMillis, sample);
            samples++;
        }

        /**
         * Expected service time in milliseconds; that of the service while there are few samples.
         */
        double expectedMillis() {
            if (samples == 0) {
                return medianMillis;
            }
            double ownWeight = samples / (samples + PRIOR_SAMPLES);
            return medianMillis * Math.pow(ownMillis / medianMillis, ownWeight);
        }

        /** Forgets the speed of the replica's previous process. */
        void reset() {
            samples = 0;
        }
    }
}
