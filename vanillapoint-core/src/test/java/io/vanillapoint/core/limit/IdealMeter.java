package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.api.model.TokenGrant;
import java.util.HashMap;
import java.util.Map;

/**
 * Reference limiter: one bucket per customer with its full rate and burst, as if the fleet were one
 * process without delays. A refusal is wrongful if this bucket had the request's tokens.
 */
final class IdealMeter {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final TokenGrant grant;
    private final Map<CustomerId, Bucket> buckets = new HashMap<>();
    int sent;
    int withinRate;
    int wronglyRefused;

    IdealMeter(TokenGrant grant) {
        this.grant = grant;
    }

    void recordSent(CustomerId customer, long nowMillis, double tokens) {
        sent++;
        Bucket bucket = bucket(customer, nowMillis);
        bucket.lastWithinRate = bucket.level >= tokens;
        if (bucket.lastWithinRate) {
            withinRate++;
            bucket.level -= tokens;
        }
    }

    /** Records that the fleet refused the customer's newest request. */
    void recordRefusal(CustomerId customer, long nowMillis, double tokens) {
        Bucket bucket = bucket(customer, nowMillis);
        if (bucket.lastWithinRate) {
            wronglyRefused++;
            bucket.level = Math.min(grant.burst(), bucket.level + tokens);
        }
    }

    private Bucket bucket(CustomerId customer, long nowMillis) {
        Bucket bucket =
                buckets.computeIfAbsent(customer, id -> new Bucket(grant.burst(), nowMillis));
        double inflow = (nowMillis - bucket.atMillis) * grant.ratePerSecond() / MILLIS_PER_SECOND;
        bucket.level = Math.min(grant.burst(), bucket.level + inflow);
        bucket.atMillis = nowMillis;
        return bucket;
    }

    private static final class Bucket {
        private double level;
        private long atMillis;
        private boolean lastWithinRate;

        private Bucket(double level, long atMillis) {
            this.level = level;
            this.atMillis = atMillis;
        }
    }
}
