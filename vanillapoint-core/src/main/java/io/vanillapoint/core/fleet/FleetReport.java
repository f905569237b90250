package io.vanillapoint.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Heartbeat of a VM to another one. Immutable.
 *
 * @param self the sender
 * @param sequence rises with each report of one incarnation
 * @param load thousandths of a core that the sender's requests need, as {@link LoadMeter} tells
 * @param fleetSize VMs that the sender has heard of since its start, itself included
 * @param regionVms VMs of its region that the sender has heard of, itself included, without those
 *     that have ended; 0 if untold
 * @param publishedRevision revision of the platform's store up to which the sender knows it
 * @param customers what the sender knows of each customer's tokens
 * @param upstreams what the sender has outstanding at each upstream
 * @param reads sessions that engines have read for the sender lately
 * @param page what part of the sender's upstreams and customers is named
 * @param readsStore true if the platform's store has answered the sender itself lately
 * @param others VMs that the sender has heard of
 */
public record FleetReport(
        MemberInfo self,
        long sequence,
        int load,
        int fleetSize,
        int regionVms,
        long publishedRevision,
        Map<String, CustomerUse> customers,
        Map<String, UpstreamUse> upstreams,
        List<SessionRead> reads,
        ReportPage page,
        boolean readsStore,
        List<HeardMember> others) {
    /** Copies the collections. */
    public FleetReport {
        customers = Map.copyOf(customers);
        upstreams = Map.copyOf(upstreams);
        reads = List.copyOf(reads);
        others = List.copyOf(others);
    }

    /**
     * Starts a report that says nothing but who sends it.
     *
     * @param self the sender
     * @param sequence rises with each report of one incarnation
     * @return a builder
     */
    public static Builder builder(MemberInfo self, long sequence) {
        return new Builder(self, sequence);
    }

    /**
     * The same report without the reads of sessions, which are outdated before they have reached
     * all VMs of other regions in turn.
     *
     * @return a copy that names no reads
     */
    public FleetReport withoutReads() {
        return new Builder(this).reads(List.of()).build();
    }

    /** Collects what a report says. Not safe for use by several threads. */
    public static final class Builder {
        private final MemberInfo self;
        private final long sequence;
        private int load;
        private int fleetSize;
        private int regionVms;
        private long publishedRevision;
        private Map<String, CustomerUse> customers = Map.of();
        private Map<String, UpstreamUse> upstreams = Map.of();
        private List<SessionRead> reads = List.of();
        private ReportPage page = ReportPage.WHOLE;
        private boolean readsStore;
        private List<HeardMember> others = List.of();

        private Builder(MemberInfo self, long sequence) {
            this.self = Objects.requireNonNull(self, "self");
            this.sequence = sequence;
        }

        private Builder(FleetReport report) {
            this(report.self, report.sequence);
            load = report.load;
            fleetSize = report.fleetSize;
            regionVms = report.regionVms;
            publishedRevision = report.publishedRevision;
            customers = report.customers;
            upstreams = report.upstreams;
            reads = report.reads;
            page = report.page;
            readsStore = report.readsStore;
            others = report.others;
        }

        /**
         * Sets what the sender's requests need.
         *
         * @param milliCores thousandths of a core
         * @return this
         */
        public Builder load(int milliCores) {
            load = milliCores;
            return this;
        }

        /**
         * Sets how many VMs the sender has heard of since its start.
         *
         * @param vms number, the sender included
         * @return this
         */
        public Builder fleetSize(int vms) {
            fleetSize = vms;
            return this;
        }

        /**
         * Sets how many VMs of its region the sender has heard of.
         *
         * @param vms number, the sender included
         * @return this
         */
        public Builder regionVms(int vms) {
            regionVms = vms;
            return this;
        }

        /**
         * Sets how far the sender knows the platform's store.
         *
         * @param revision revision of the store
         * @param answers true if the store has answered the sender itself lately
         * @return this
         */
        public Builder store(long revision, boolean answers) {
            publishedRevision = revision;
            readsStore = answers;
            return this;
        }

        /**
         * Sets what the sender knows of each customer's tokens.
         *
         * @param uses uses by name of the customer
         * @return this
         */
        public Builder customers(Map<String, CustomerUse> uses) {
            customers = uses;
            return this;
        }

        /**
         * Sets what the sender has outstanding at each upstream.
         *
         * @param uses uses by id of the upstream
         * @return this
         */
        public Builder upstreams(Map<String, UpstreamUse> uses) {
            upstreams = uses;
            return this;
        }

        /**
         * Sets the sessions that engines have read for the sender lately.
         *
         * @param sessions reads
         * @return this
         */
        public Builder reads(List<SessionRead> sessions) {
            reads = sessions;
            return this;
        }

        /**
         * Sets what part of the sender's upstreams and customers is named.
         *
         * @param part the page
         * @return this
         */
        public Builder page(ReportPage part) {
            page = part;
            return this;
        }

        /**
         * Sets the VMs that the sender has heard of.
         *
         * @param heard VMs
         * @return this
         */
        public Builder others(List<HeardMember> heard) {
            others = heard;
            return this;
        }

        /**
         * Makes the report.
         *
         * @return immutable report
         */
        public FleetReport build() {
            return new FleetReport(
                    self,
                    sequence,
                    load,
                    fleetSize,
                    regionVms,
                    publishedRevision,
                    customers,
                    upstreams,
                    reads,
                    page,
                    readsStore,
                    others);
        }
    }
}
