package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.Customer;
import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.api.model.GatewayConfig;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.invariant.Invariants;
import io.vanillapoint.core.message.LeaseGrant;
import io.vanillapoint.core.message.PlacementView;
import io.vanillapoint.core.time.ClockReading;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Token buckets of all customers on one VM.
 *
 * <p>Invariant: the share of each bucket is the sum of the shares, own and leased, whose views all
 * make this VM the customer's home, and is at most 1. Confined to one thread.
 */
final class CustomerBuckets {
    private static final double EPSILON = 1e-6;

    private final AuthoritySettings settings;
    private final Invariants invariants;
    private final Map<CustomerId, CustomerBucket> buckets = new HashMap<>();

    CustomerBuckets(AuthoritySettings settings, Invariants invariants) {
        this.settings = settings;
        this.invariants = invariants;
    }

    Optional<CustomerBucket> find(CustomerId customer) {
        return Optional.ofNullable(buckets.get(customer));
    }

    /** Applies a configuration: adds, updates and removes buckets. */
    void configure(ClockReading now, GatewayConfig config) {
        buckets.keySet().retainAll(config.customers().keySet());
        for (Customer customer : config.customers().values()) {
            double regionShare = customer.regionShare(settings.region());
            CustomerBucket bucket = buckets.get(customer.id());
            if (bucket == null) {
                bucket = new CustomerBucket(customer.grant(), regionShare, now);
                buckets.put(customer.id(), bucket);
            } else {
                bucket.advance(now, settings.timing().drift());
                bucket.changeGrant(
                        customer.grant(), regionShare, now, settings.timing().settlingMillis());
            }
        }
    }

    /**
     * Recomputes the share of every customer.
     *
     * @param now time
     * @param own this VM's own share
     * @param heldLeases leases of other VMs' shares that this VM holds
     */
    void recomputeShares(ClockReading now, LeaseGrant own, Collection<LeaseGrant> heldLeases) {
        Map<List<PlacementView>, Double> shareByViews = new HashMap<>();
        shareByViews.merge(own.views(), own.share(), Double::sum);
        for (LeaseGrant grant : heldLeases) {
            shareByViews.merge(grant.views(), grant.share(), Double::sum);
        }
        for (Map.Entry<CustomerId, CustomerBucket> entry : buckets.entrySet()) {
            double share = shareAtThisVm(entry.getKey(), shareByViews);
            entry.getValue().updateShare(share, now, settings.timing().drift());
            invariants.check(
                    share <= 1 + EPSILON,
                    "share of one VM",
                    () ->
                            settings.self()
                                    + " has a share of "
                                    + share
                                    + ", expected at most 1, for "
                                    + entry.getKey());
        }
    }

    private double shareAtThisVm(
            CustomerId customer, Map<List<PlacementView>, Double> shareByViews) {
        double share = 0;
        for (Map.Entry<List<PlacementView>, Double> part : shareByViews.entrySet()) {
            boolean homedHere =
                    part.getKey().stream().allMatch(view -> isThisVm(view.home(customer)));
            if (homedHere) {
                share += part.getValue();
            }
        }
        return share;
    }

    private boolean isThisVm(Optional<VmId> home) {
        return home.isPresent() && home.get().equals(settings.self());
    }
}
