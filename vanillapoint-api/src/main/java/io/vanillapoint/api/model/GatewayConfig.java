package io.vanillapoint.api.model;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The configuration that the platform publishes, as of one revision.
 *
 * <p>Invariant: a key digest belongs to at most one customer. Immutable and safe for use by several
 * threads; traffic threads read it without locks.
 */
public final class GatewayConfig {
    private final long revision;
    private final Map<String, ModelDeclaration> models;
    private final Map<String, ServiceDeclaration> services;
    private final Map<CustomerId, Customer> customers;
    private final Map<KeyDigest, Customer> customersByKey;
    private final Map<VmId, Vm> vms;
    private final List<Upstream> upstreams;

    private GatewayConfig(Builder builder) {
        this.revision = builder.revision;
        this.models = Map.copyOf(builder.models);
        this.services = Map.copyOf(builder.services);
        this.customers = Map.copyOf(builder.customers);
        this.customersByKey = Map.copyOf(indexKeys(builder.customers.values()));
        this.vms = Collections.unmodifiableMap(new TreeMap<>(builder.vms));
        this.upstreams = List.copyOf(builder.upstreams.values());
    }

    /**
     * Creates a builder for an empty configuration.
     *
     * @param revision newest revision among its values
     * @return a builder
     */
    public static Builder builder(long revision) {
        return new Builder(revision);
    }

    /**
     * The configuration in force before any value has been read.
     *
     * @return an empty configuration with revision 0
     */
    public static GatewayConfig empty() {
        return builder(0).build();
    }

    /**
     * Newest revision among the values.
     *
     * @return revision in the platform's configuration service, 0 before any value has been read
     */
    public long revision() {
        return revision;
    }

    /**
     * VMs that the platform lists.
     *
     * @return immutable map, sorted by name
     */
    public Map<VmId, Vm> vms() {
        return vms;
    }

    /**
     * Customers by name.
     *
     * @return immutable map
     */
    public Map<CustomerId, Customer> customers() {
        return customers;
    }

    /**
     * Upstreams, sorted by name.
     *
     * @return immutable list
     */
    public List<Upstream> upstreams() {
        return upstreams;
    }

    /**
     * Finds a model.
     *
     * @param name name that callers put into requests
     * @return the declaration, if any
     */
    public Optional<ModelDeclaration> model(String name) {
        return Optional.ofNullable(models.get(name));
    }

    /**
     * Finds a plain service.
     *
     * @param name name used in the request path
     * @return the declaration, if any
     */
    public Optional<ServiceDeclaration> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Finds the customer to whom a key was granted.
     *
     * @param digest digest of the key
     * @return the customer, or empty if the key is unknown or has been revoked
     */
    public Optional<Customer> customerByKey(KeyDigest digest) {
        return Optional.ofNullable(customersByKey.get(digest));
    }

    private static Map<KeyDigest, Customer> indexKeys(Collection<Customer> customers) {
        Map<KeyDigest, Customer> index = new HashMap<>();
        for (Customer customer : customers) {
            for (KeyDigest key : customer.keys()) {
                if (index.put(key, customer) != null) {
                    throw new IllegalArgumentException(
                            "customer " + customer.id() + ": a key belongs to another customer");
                }
            }
        }
        return index;
    }

    /** Builder for {@link GatewayConfig}. Not safe for use by several threads. */
    public static final class Builder {
        private final long revision;
        private final Map<String, ModelDeclaration> models = new HashMap<>();
        private final Map<String, ServiceDeclaration> services = new HashMap<>();
        private final Map<CustomerId, Customer> customers = new TreeMap<>();
        private final Map<VmId, Vm> vms = new TreeMap<>();
        private final Map<UpstreamId, Upstream> upstreams = new TreeMap<>();

        private Builder(long revision) {
            this.revision = revision;
        }

        /**
         * Adds a model.
         *
         * @param model the declaration
         * @return this builder
         */
        public Builder model(ModelDeclaration model) {
            models.put(model.name(), model);
            return this;
        }

        /**
         * Adds a plain service.
         *
         * @param service the declaration
         * @return this builder
         */
        public Builder service(ServiceDeclaration service) {
            services.put(service.name(), service);
            return this;
        }

        /**
         * Adds a customer.
         *
         * @param customer the customer
         * @return this builder
         */
        public Builder customer(Customer customer) {
            customers.put(customer.id(), customer);
            return this;
        }

        /**
         * Adds a VM.
         *
         * @param vm the VM
         * @return this builder
         */
        public Builder vm(Vm vm) {
            vms.put(vm.id(), vm);
            return this;
        }

        /**
         * Adds an upstream.
         *
         * @param upstream the upstream
         * @return this builder
         */
        public Builder upstream(Upstream upstream) {
            upstreams.put(upstream.id(), upstream);
            return this;
        }

        /**
         * Builds the configuration.
         *
         * @return an immutable configuration
         */
        public GatewayConfig build() {
            return new GatewayConfig(this);
        }
    }
}
