package io.vanillapoint.api.model;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A customer declared by the operators: its keys, the models and services that it may call, the
 * regions that may process its data, and its token grant.
 *
 * <p>Invariant: at least one region is permitted and every region weight is positive. Immutable and
 * safe for use by several threads.
 */
public final class Customer {
    private final CustomerId id;
    private final Set<KeyDigest> keys;
    private final Set<String> models;
    private final Set<String> services;
    private final Map<RegionId, Double> regionWeights;
    private final TokenGrant grant;

    private Customer(Builder builder) {
        this.id = builder.id;
        this.keys = Set.copyOf(builder.keys);
        this.models = Collections.unmodifiableSet(new TreeSet<>(builder.models));
        this.services = Collections.unmodifiableSet(new TreeSet<>(builder.services));
        this.regionWeights = Collections.unmodifiableMap(new TreeMap<>(builder.regionWeights));
        this.grant = builder.grant;
        if (regionWeights.isEmpty()) {
            throw new IllegalArgumentException(
                    "customer " + id + ": expected at least one permitted region");
        }
        if (regionWeights.values().stream().anyMatch(weight -> !(weight > 0))) {
            throw new IllegalArgumentException("customer " + id + ": expected positive weights");
        }
    }

    /**
     * Creates a builder for a customer.
     *
     * @param id name of the customer
     * @param grant its rate and burst
     * @return a builder without keys, models, services and regions
     */
    public static Builder builder(CustomerId id, TokenGrant grant) {
        return new Builder(id, grant);
    }

    /**
     * Name of the customer.
     *
     * @return the name
     */
    public CustomerId id() {
        return id;
    }

    /**
     * Digests of the customer's valid keys.
     *
     * @return immutable set
     */
    public Set<KeyDigest> keys() {
        return keys;
    }

    /**
     * Models that the customer may call.
     *
     * @return immutable sorted set
     */
    public Set<String> models() {
        return models;
    }

    /**
     * Plain services that the customer may call.
     *
     * @return immutable sorted set
     */
    public Set<String> services() {
        return services;
    }

    /**
     * Permitted regions with the weights that split rate and burst among them.
     *
     * @return immutable sorted map, not empty
     */
    public Map<RegionId, Double> regionWeights() {
        return regionWeights;
    }

    /**
     * Rate and burst, counted over the whole fleet.
     *
     * @return the grant
     */
    public TokenGrant grant() {
        return grant;
    }

    /**
     * Tells whether the customer's data may be processed in a region.
     *
     * @param region region to check
     * @return true if it is permitted
     */
    public boolean permits(RegionId region) {
        return regionWeights.containsKey(region);
    }

    /**
     * Fraction of rate and burst that is assigned to a region.
     *
     * @param region region to look up
     * @return fraction from 0 to 1; 0 for a region that is not permitted
     */
    public double regionShare(RegionId region) {
        Double weight = regionWeights.get(region);
        if (weight == null) {
            return 0;
        }
        double sum = regionWeights.values().stream().mapToDouble(Double::doubleValue).sum();
        return weight / sum;
    }

    /** Builder for {@link Customer}. Not safe for use by several threads. */
    public static final class Builder {
        private final CustomerId id;
        private final TokenGrant grant;
        private final Set<KeyDigest> keys = new TreeSet<>((a, b) -> a.hex().compareTo(b.hex()));
        private final Set<String> models = new TreeSet<>();
        private final Set<String> services = new TreeSet<>();
        private final Map<RegionId, Double> regionWeights = new TreeMap<>();

        private Builder(CustomerId id, TokenGrant grant) {
            this.id = id;
            this.grant = grant;
        }

        /**
         * Adds a key.
         *
         * @param digest digest of the key
         * @return this builder
         */
        public Builder key(KeyDigest digest) {
            keys.add(digest);
            return this;
        }

        /**
         * Permits a model.
         *
         * @param model name of the model
         * @return this builder
         */
        public Builder model(String model) {
            models.add(model);
            return this;
        }

        /**
         * Permits a plain service.
         *
         * @param service name of the service
         * @return this builder
         */
        public Builder service(String service) {
            services.add(service);
            return this;
        }

        /**
         * Permits a region.
         *
         * @param region name of the region
         * @param weight relative weight of the region in the split of rate and burst, positive
         * @return this builder
         */
        public Builder region(RegionId region, double weight) {
            regionWeights.put(region, weight);
            return this;
        }

        /**
         * Builds the customer.
         *
         * @return an immutable customer
         */
        public Customer build() {
            return new Customer(this);
        }
    }
}
