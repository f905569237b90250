package io.vanillapoint.core.grant;

import io.vanillapoint.core.fleet.CustomerSpend;
import io.vanillapoint.core.fleet.CustomerUse;
import io.vanillapoint.core.published.CustomerSpec;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

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
 * rate * W + cap} plus the admissions of one heartbeat interval and one request per VM are
 * admitted. During a network partition, each VM admits only the fraction of the rate and of the cap
 * that its side has of all VMs, and the fractions of all sides add up to one. The cost of this
 * bound is that demand which moves between sides during a partition is refused below the customer's
 * rate.
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
    private static final double START_PART = 0.1;

    /**
     * Fraction of the difference to another VM's copy that one heartbeat removes. Copies diverge by
     * admissions that were not received; with several heartbeats per second they converge within a
     * second.
     */
    private static final double ALIGNMENT = 0.04;

    /** Longest time that a customer is refused because other VMs exceeded its rate. */
    private static final double LONGEST_DEBT_SECONDS = 4;

    private final GrantTolerance tolerance;
    private final Map<String, Account> accounts = new HashMap<>();

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
     *
     * @param customers all customers
     * @param share fraction of the fleet that this VM hears, in (0, 1]
     * @param nowMillis monotonic time in milliseconds
     */
    public void configure(Collection<CustomerSpec> customers, double share, long nowMillis) {
        for (CustomerSpec customer : customers) {
            if (customer.limited()) {
                Account account = account(customer, share, nowMillis);
                account.advance(tolerance, share, nowMillis);
                account.customer = customer;
            }
        }
    }

    /**
     * Takes the tokens of a request from the customer's bucket if the bucket allows it.
     *
     * @param customer customer to charge
     * @param tokens tokens of the request
     * @param share fraction of the fleet that this VM hears, in (0, 1]
     * @param nowMillis monotonic time in milliseconds
     * @return whether the request was admitted
     */
    public GrantVerdict take(CustomerSpec customer, long tokens, double share, long nowMillis) {
        if (!customer.limited()) {
            return new GrantVerdict(true, Long.MAX_VALUE, 0);
        }
        Account account = account(customer, share, nowMillis);
        account.customer = customer;
        account.advance(tolerance, share, nowMillis);
        if (account.level <= 0) {
            long wait = account.waitMillis(share);
            account.promised += tokens;
            return new GrantVerdict(false, (long) account.level, wait);
        }
        account.level -= tokens;
        account.admitted += tokens;
        account.used = true;
        return new GrantVerdict(true, (long) account.level, 0);
    }

    /**
     * Refunds the tokens of a request that was admitted but not run.
     *
     * @param customer customer that was charged
     * @param tokens tokens of the request
     */
    public void giveBack(CustomerSpec customer, long tokens) {
        Account account = accounts.get(customer.name());
        if (account != null) {
            account.level += tokens;
            account.admitted -= tokens;
        }
    }

    /**
     * Charges the admissions that another VM reported.
     *
     * @param spends tokens by customer
     * @param share fraction of the fleet that this VM hears, in (0, 1]
     * @param nowMillis monotonic time in milliseconds
     */
    public void spentElsewhere(List<CustomerSpend> spends, double share, long nowMillis) {
        for (CustomerSpend spend : spends) {
            Account account = accounts.get(spend.customer());
            if (account != null) {
                account.advance(tolerance, share, nowMillis);
                account.charge(spend);
                if (share >= 1) {
                    account.level += ALIGNMENT * (spend.level() - account.level);
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
    public Map<String, CustomerUse> uses() {
        Map<String, CustomerUse> uses = new HashMap<>();
        accounts.forEach(
                (name, account) -> {
                    if (account.used) {
                        uses.put(name, new CustomerUse(account.admitted, (long) account.level));
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
        Account account = accounts.get(customer);
        return account == null ? OptionalLong.empty() : OptionalLong.of((long) account.level);
    }

    private Account account(CustomerSpec customer, double share, long nowMillis) {
        return accounts.computeIfAbsent(
                customer.name(),
                unused -> {
                    double cap = tolerance.bucketCap(customer.burst()) * share;
                    return new Account(customer, cap * START_PART, nowMillis);
                });
    }

    /** This VM's copy of one customer's bucket. */
    private static final class Account {
        private CustomerSpec customer;
        private double level;
        private long atMillis;
        private long admitted;
        private boolean used;

        /** Tokens of refused requests that were given a retry time; decreases at the rate. */
        private double promised;

        Account(CustomerSpec customer, double level, long nowMillis) {
            this.customer = customer;
            this.level = level;
            this.atMillis = nowMillis;
        }

        /**
         * Charges another VM's admissions. The part of the rate that was reserved for that VM while
         * it was silent is not charged, since this copy was not refilled with it.
         */
        void charge(CustomerSpend spend) {
            double setAside = customer.ratePerSecond() * spend.setAsideMillis() / MILLIS_PER_SECOND;
            level -= spend.tokens() <= 0 ? spend.tokens() : Math.max(0, spend.tokens() - setAside);
        }

        /** Includes the tokens of earlier refusals, so that retries do not arrive all at once. */
        long waitMillis(double share) {
            double seconds = (1 - level + promised) / (customer.ratePerSecond() * share);
            return (long) Math.ceil(seconds * MILLIS_PER_SECOND);
        }

        void advance(GrantTolerance tolerance, double share, long nowMillis) {
            double seconds = Math.max(0, nowMillis - atMillis) / MILLIS_PER_SECOND;
            atMillis = Math.max(atMillis, nowMillis);
            double rate = customer.ratePerSecond() * share;
            double cap = tolerance.bucketCap(customer.burst()) * share;
            double deepest = -customer.ratePerSecond() * LONGEST_DEBT_SECONDS;
            level = Math.min(cap, Math.max(deepest, level) + rate * seconds);
            promised = Math.max(0, promised - rate * seconds);
        }
    }
}
