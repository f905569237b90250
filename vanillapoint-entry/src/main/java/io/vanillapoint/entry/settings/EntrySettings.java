package io.vanillapoint.entry.settings;

import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.retry.RetryBounds;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Settings of one entry VM.
 *
 * <p>Invariant: the zone of the VM is one of the zones. Immutable; the {@code with} methods return
 * changed copies.
 */
public final class EntrySettings {
    private static final int VMS_PER_ZONE = 2;

    /** Smallest number that platforms usually allow a server. */
    private static final int DEFAULT_DESCRIPTORS = 4_096;

    private final String vm;
    private final String host;
    private final ZoneId zone;
    private final Map<ZoneId, RegionId> zones;
    private final Endpoint callers;
    private final Optional<Endpoint> readiness;
    private final Optional<Endpoint> directory;
    private final int peerPort;
    private final int metricsPort;
    private final List<String> seeds;
    private final Endpoint store;
    private final long graceMillis;
    private final RetryBounds retries;
    private final double quotaSlackTokens;
    private final int capacity;
    private final int descriptors;

    private EntrySettings(Builder builder) {
        vm = Objects.requireNonNull(builder.vm, "vm");
        host = Objects.requireNonNull(builder.host, "host");
        zone = Objects.requireNonNull(builder.zone, "zone");
        zones = Map.copyOf(builder.zones);
        callers = Objects.requireNonNull(builder.callers, "callers");
        readiness = Optional.ofNullable(builder.readiness);
        directory = Optional.ofNullable(builder.directory);
        peerPort = builder.peerPort;
        metricsPort = builder.metricsPort;
        seeds = List.copyOf(builder.seeds);
        store = Objects.requireNonNull(builder.store, "store");
        graceMillis = builder.graceMillis;
        retries = Objects.requireNonNull(builder.retries, "retries");
        quotaSlackTokens = builder.quotaSlackTokens;
        capacity = builder.capacity;
        descriptors = builder.descriptors;
        if (!zones.containsKey(zone)) {
            throw new IllegalArgumentException(
                    "expected zone " + zone + " among " + zones.keySet());
        }
    }

    /**
     * Creates a builder.
     *
     * @return a builder without values
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the same settings with other seeds.
     *
     * @param newSeeds IP addresses of the VMs to contact first
     * @return a copy
     */
    public EntrySettings withSeeds(List<String> newSeeds) {
        return new Builder(this).seeds(newSeeds).build();
    }

    /**
     * Name of the VM.
     *
     * @return unique name
     */
    public String vm() {
        return vm;
    }

    /**
     * IP address of the VM.
     *
     * @return address
     */
    public String host() {
        return host;
    }

    /**
     * Availability zone of the VM.
     *
     * @return zone
     */
    public ZoneId zone() {
        return zone;
    }

    /**
     * Region of the VM.
     *
     * @return region
     */
    public RegionId region() {
        return zones.get(zone);
    }

    /**
     * Region of each zone.
     *
     * @return immutable map
     */
    public Map<ZoneId, RegionId> zones() {
        return zones;
    }

    /**
     * Address on which callers connect.
     *
     * @return address
     */
    public Endpoint callers() {
        return callers;
    }

    /**
     * Address on which the platform checks readiness.
     *
     * @return address, empty if readiness is not served on an address of its own
     */
    public Optional<Endpoint> readiness() {
        return readiness;
    }

    /**
     * Address on which callers query the directory of VMs.
     *
     * @return address, empty if this VM serves no directory
     */
    public Optional<Endpoint> directory() {
        return directory;
    }

    /**
     * Port for other VMs, UDP and TCP, the same on all VMs.
     *
     * @return port
     */
    public int peerPort() {
        return peerPort;
    }

    /**
     * Port on which metrics are served.
     *
     * @return port
     */
    public int metricsPort() {
        return metricsPort;
    }

    /**
     * VMs to contact first. The list may be stale, and its VMs may be down.
     *
     * @return IP addresses
     */
    public List<String> seeds() {
        return seeds;
    }

    /**
     * Smallest number of VMs in the fleet: operators run two in each zone, so that one can be
     * replaced.
     *
     * @return number of VMs
     */
    public int minFleetSize() {
        return zones.size() * VMS_PER_ZONE;
    }

    /**
     * Address of the platform's store.
     *
     * @return address
     */
    public Endpoint store() {
        return store;
    }

    /**
     * Time from the stop request until the process is killed.
     *
     * @return milliseconds
     */
    public long graceMillis() {
        return graceMillis;
    }

    /**
     * Limits on retries across all VMs.
     *
     * @return limits
     */
    public RetryBounds retries() {
        return retries;
    }

    /**
     * Tokens by which all VMs together may exceed a customer's rate and burst in one window.
     *
     * @return tokens
     */
    public double quotaSlackTokens() {
        return quotaSlackTokens;
    }

    /**
     * Processor capacity of the VM.
     *
     * @return thousandths of a core, one core if the platform does not specify it
     */
    public int capacity() {
        return capacity;
    }

    /**
     * Files and sockets that the process can open.
     *
     * @return number of descriptors
     */
    public int descriptors() {
        return descriptors;
    }

    /** Builder of settings. Not safe for use by several threads. */
    public static final class Builder {
        private String vm;
        private String host;
        private ZoneId zone;
        private Map<ZoneId, RegionId> zones = Map.of();
        private Endpoint callers;
        private Endpoint readiness;
        private Endpoint directory;
        private int peerPort;
        private int metricsPort;
        private List<String> seeds = List.of();
        private Endpoint store;
        private long graceMillis;
        private RetryBounds retries;
        private double quotaSlackTokens;
        private int capacity = MemberInfo.ONE_CORE;
        private int descriptors = DEFAULT_DESCRIPTORS;

        private Builder() {}

        private Builder(EntrySettings settings) {
            vm = settings.vm;
            host = settings.host;
            zone = settings.zone;
            zones = settings.zones;
            callers = settings.callers;
            readiness = settings.readiness.orElse(null);
            directory = settings.directory.orElse(null);
            peerPort = settings.peerPort;
            metricsPort = settings.metricsPort;
            seeds = settings.seeds;
            store = settings.store;
            graceMillis = settings.graceMillis;
            retries = settings.retries;
            quotaSlackTokens = settings.quotaSlackTokens;
            capacity = settings.capacity;
            descriptors = settings.descriptors;
        }

        /**
         * Sets the identity and location of the VM.
         *
         * @param newVm unique name
         * @param newHost IP address
         * @param newZone availability zone
         * @return this
         */
        public Builder identity(String newVm, String newHost, ZoneId newZone) {
            vm = newVm;
            host = newHost;
            zone = newZone;
            return this;
        }

        /**
         * Sets the region of each zone.
         *
         * @param newZones regions by zone
         * @return this
         */
        public Builder zones(Map<ZoneId, RegionId> newZones) {
            zones = newZones;
            return this;
        }

        /**
         * Sets the address on which callers connect.
         *
         * @param endpoint address
         * @return this
         */
        public Builder callers(Endpoint endpoint) {
            callers = endpoint;
            return this;
        }

        /**
         * Sets the address on which the platform checks readiness.
         *
         * @param endpoint address
         * @return this
         */
        public Builder readiness(Endpoint endpoint) {
            readiness = endpoint;
            return this;
        }

        /**
         * Sets the address on which callers query the directory of VMs.
         *
         * @param endpoint address
         * @return this
         */
        public Builder directory(Endpoint endpoint) {
            directory = endpoint;
            return this;
        }

        /**
         * Sets the peer port and the metrics port.
         *
         * @param peers port for other VMs
         * @param metrics port for metrics
         * @return this
         */
        public Builder ports(int peers, int metrics) {
            peerPort = peers;
            metricsPort = metrics;
            return this;
        }

        /**
         * Sets the VMs to contact first.
         *
         * @param newSeeds IP addresses
         * @return this
         */
        public Builder seeds(List<String> newSeeds) {
            seeds = newSeeds;
            return this;
        }

        /**
         * Sets the address of the platform's store.
         *
         * @param endpoint address
         * @return this
         */
        public Builder store(Endpoint endpoint) {
            store = endpoint;
            return this;
        }

        /**
         * Sets the grace period for stopping.
         *
         * @param millis milliseconds from the stop request until the process is killed
         * @return this
         */
        public Builder graceMillis(long millis) {
            graceMillis = millis;
            return this;
        }

        /**
         * Sets the limits on retries and on excess over customers' rates.
         *
         * @param newRetries limits on retries
         * @param slackTokens tokens of excess in one window
         * @return this
         */
        public Builder bounds(RetryBounds newRetries, double slackTokens) {
            retries = newRetries;
            quotaSlackTokens = slackTokens;
            return this;
        }

        /**
         * Sets the processor capacity of the VM.
         *
         * @param milliCores thousandths of a core
         * @return this
         */
        public Builder capacity(int milliCores) {
            capacity = milliCores;
            return this;
        }

        /**
         * Sets the files and sockets that the process can open.
         *
         * @param number number of descriptors
         * @return this
         */
        public Builder descriptors(int number) {
            descriptors = number;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return immutable settings
         * @throws NullPointerException if a required value is missing
         * @throws IllegalArgumentException if the zone of the VM is not one of the zones
         */
        public EntrySettings build() {
            return new EntrySettings(this);
        }
    }
}
