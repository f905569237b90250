package io.vanillapoint.core.grant;

import io.vanillapoint.core.fleet.CustomerSpend;
import io.vanillapoint.core.fleet.CustomerUse;
import io.vanillapoint.core.published.CustomerSpec;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Enforces customers' token rates over all VMs without a coordinating VM.
 *
 * <p>Every VM keeps a copy of each customer's token bucket. It debits its own admissions
 * immediately and those of other VMs when their heartbeats arrive. Heartbeats also carry the level
 * of the sender's copy; the receiver moves its own copy a fraction of the way towards it, so that
 * the copies do not drift apart. A request is admitted while the level is above zero and may make
 * it negative, so that a request larger than the burst can run; the debt is repaid before the next
 * request is admitted.
 *
 * <p>Safety argument. While all VMs hear each other, the copies differ by what was admitted within
 * one heartbeat interval, and that is charged afterwards: in a window of W seconds, at most {@code
 * rate * W + capacity} plus the admissions of one heartbeat interval and one request per VM are
 * admitted. During a network partition, each VM admits only the fraction of the rate and of the
 * capacity that its side has of all VMs, and the fractions of all sides add up to one. The cost of
 * this bound is that demand which moves between sides during a partition is refused below the
 * customer's rate.
 *
 * <p>Handles a customer that sends several times its rate to all VMs at once, or through one region
 * during a partition. Confined to one thread.
 */
public final class GrantMeter {
    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Fraction of its capacity that a new bucket starts with. It is small because the process may
     * replace one that had already spent the burst.
     */
    private static final double INITIAL_FILL_FRACTION = 0.1;

    /**
     * Fraction of the difference to another VM's copy that one heartbeat removes. Copies diverge by
     * admissions that were not received; with several heartbeats per second they converge within a
     * second.
     */
    private static final double CONVERGENCE_FRACTION = 0.04;

    /** Longest time that a customer is refused because other VMs exceeded its rate. */
    private static final double MAX_DEBT_SECONDS = 4;

    /** Time after its last use for which the bucket of a deleted customer is kept. */
    private static final long DELETED_MILLIS = 600_000;

    private final GrantTolerance tolerance;

    private final Map<String, Bucket> buckets = new HashMap<>();

    /**
     * Creates a meter.
     *
     * @param tolerance how far the fleet may exceed rate and burst
     */
    public GrantMeter(GrantTolerance tolerance) {
        this.tolerance = tolerance;
    }

    /**
     * Applies a configuration. Existing buckets are first refilled up to now at their old rates.
     * Buckets of deleted customers are kept for a while, as a customer may return with its debt.
     *
     * @param customers all customers
     * @param heardFraction fraction of the fleet that this VM hears, in (0, 1]
     * @param nowMillis monotonic time in milliseconds
     */
    public void configure(
            Collection<CustomerSpec> customers, double heardFraction, long nowMillis) {
        Set<String> limited = new HashSet<>();
        for (CustomerSpec customer : customers) {
            if (customer.limited()) {
                limited.add(customer.name());
                Bucket bucket = bucket(customer, heardFraction, nowMillis);
                bucket.refill(tolerance, heardFraction, nowMillis);
                bucket.customer = customer;
            }
        }
        buckets.entrySet()
                .removeIf(
                        bucket ->
                                !limited.contains(bucket.getKey())
                                        && nowMillis - bucket.getValue().updatedAtMillis
                                                > DELETED_MILLIS);
    }

    /**
     * Takes the tokens of a request from the customer's bucket if the bucket allows it.
     *
     * @param customer customer to charge
     * @param tokens tokens of the request
     * @param heardFraction fraction of the fleet that this VM hears, in (0, 1]
     * @param nowMillis monotonic time in milliseconds
     * @return whether the request was admitted
     */
    public GrantVerdict tryAcquire(
            CustomerSpec customer, long tokens, double heardFraction, long nowMillis) {
        if (!customer.limited()) {
            return new GrantVerdict(true, Long.MAX_VALUE, 0);
        }
        Bucket bucket = bucket(customer, heardFraction, nowMillis);
        bucket.customer = customer;
        bucket.refill(tolerance, heardFraction, nowMillis);
        if (bucket.level <= 0) {
            long retryAfterMillis = bucket.retryAfterMillis(heardFraction);
            bucket.deferredTokens += tokens;
            return new GrantVerdict(false, (long) bucket.level, retryAfterMillis);
        }
        bucket.level -= tokens;
        bucket.admitted += tokens;
        bucket.hasAdmitted = true;
        return new GrantVerdict(true, (long) bucket.level, 0);
    }

    /**
     * Refunds the tokens of a request that was admitted but not run.
     *
     * @param customer customer that was charged
     * @param tokens tokens of the request
     */
    public void refund(CustomerSpec customer, long tokens) {
        Bucket bucket = buckets.get(customer.name());
        if (bucket != null) {
            bucket.level += tokens;
            bucket.admitted -= tokens;
        }
    }

    /**
     * Charges the admissions that another VM reported.
     *
     * @param spends tokens by customer
     * @param heardFraction fraction of the fleet that this VM hears, in (0, 1]
     * @param nowMillis monotonic time in milliseconds
     */
    public void chargeRemote(List<CustomerSpend> spends, double heardFraction, long nowMillis) {
        for (CustomerSpend spend : spends) {
            Bucket bucket = buckets.get(spend.customer());
            if (bucket != null) {
                bucket.refill(tolerance, heardFraction, nowMillis);
                bucket.charge(spend);
                if (heardFraction >= 1) {
                    bucket.level += CONVERGENCE_FRACTION * (spend.level() - bucket.level);
                }
            }
        }
    }

    /**
     * Token usage by customer, for the heartbeat. Customers of whom this VM has never admitted a
     * request are left out: most VMs of a large fleet serve no requests and know only what other
     * VMs reported.
     *
     * @return new map from customer name to usage
     */
    public Map<String, CustomerUse> localUsage() {
        Map<String, CustomerUse> uses = new HashMap<>();
        buckets.forEach(
                (name, bucket) -> {
                    if (bucket.hasAdmitted) {
                        uses.put(name, new CustomerUse(bucket.admitted, (long) bucket.level));
                    }
                });
        return uses;
    }

    /**
     * Level of this VM's copy of a customer's bucket as of its last update.
     *
     * @param customer name of the customer
     * @return tokens, negative for a debt; empty if the customer is unknown or has no limit
     */
    public OptionalLong level(String customer) {
        Bucket bucket = buckets.get(customer);
        return bucket == null ? OptionalLong.empty() : OptionalLong.of((long) bucket.level);
    }

    private Bucket bucket(CustomerSpec customer, double heardFraction, long nowMillis) {
        return buckets.computeIfAbsent(
                customer.name(),
                unused -> {
                    double capacity = tolerance.bucketCapacity(customer.burst()) * heardFraction;
                    return new Bucket(customer, capacity * INITIAL_FILL_FRACTION, nowMillis);
                });
    }

    /** This VM's copy of one customer's bucket. */
    private static final class Bucket {
        private CustomerSpec customer;
        private double level;
        private long updatedAtMillis;
        private long admitted;
        private boolean hasAdmitted;

        /** Tokens of refused requests that were given a retry time; decreases at the rate. */
        private double deferredTokens;

        Bucket(CustomerSpec customer, double level, long nowMillis) {
            this.customer = customer;
            this.level = level;
            this.updatedAtMillis = nowMillis;
        }

        /**
         * Charges another VM's admissions. The part of the rate that was reserved for that VM while
         * it was silent is not charged, since this copy was not refilled with it.
         */
        void charge(CustomerSpend spend) {
            double reservedTokens =
                    customer.ratePerSecond() * spend.reservedMillis() / MILLIS_PER_SECOND;
            level -=
                    spend.tokens() <= 0
                            ? spend.tokens()
                            : Math.max(0, spend.tokens() - reservedTokens);
        }

        /** Includes the tokens of earlier refusals, so that retries do not arrive all at once. */
        long retryAfterMillis(double heardFraction) {
            double seconds =
                    (1 - level + deferredTokens) / (customer.ratePerSecond() * heardFraction);
            return (long) Math.ceil(seconds * MILLIS_PER_SECOND);
        }

        void refill(GrantTolerance tolerance, double heardFraction, long nowMillis) {
            double seconds = Math.max(0, nowMillis - updatedAtMillis) / MILLIS_PER_SECOND;
            updatedAtMillis = Math.max(updatedAtMillis, nowMillis);
            double rate = customer.ratePerSecond() * heardFraction;
            double capacity = tolerance.bucketCapacity(customer.burst()) * heardFraction;
            double minLevel = -customer.ratePerSecond() * MAX_DEBT_SECONDS;
            level = Math.min(capacity, Math.max(minLevel, level) + rate * seconds);
            deferredTokens = Math.max(0, deferredTokens - rate * seconds);
        }
    }
}
