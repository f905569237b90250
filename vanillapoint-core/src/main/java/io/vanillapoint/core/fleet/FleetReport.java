package io.vanillapoint.core.fleet;

import io.vanillapoint.core.published.StorePosition;
import io.vanillapoint.core.quarantine.QuarantineReport;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Heartbeat that one VM sends to another. Immutable.
 *
 * @param self the sender
 * @param sequence increases with each report of one incarnation
 * @param load processor time that the sender's requests need, in thousandths of a core, from {@link
 *     LoadMeter}
 * @param fleetSize number of VMs that the sender has heard of since its start, itself included
 * @param regionVms number of running VMs that the sender knows in its region, itself included; 0 if
 *     not reported
 * @param published position of the platform's store that the sender has reached
 * @param customers state of the customers' token buckets on the sender, by customer name
 * @param upstreams requests that the sender has outstanding, by upstream id
 * @param reads sessions whose prompts engines have recently processed for the sender
 * @param page which part of the sender's upstreams and customers the report contains
 * @param readsStore true if the platform's store has recently answered the sender itself
 * @param others VMs that the sender has heard of
 * @param quarantine prompt parts that crash engines, as far as they fit
 * @param unreachable ids of the replicas of the sender's region, as far as the page covers them,
 *     that the sender can't reach at present; empty if the sender doesn't report this
 * @param rejectionLimits rejections in a second that replicas survive, as announced to the sender,
 *     by service
 * @param silences replicas, as far as the page covers them, that leave requests of the sender
 *     unanswered, by id
 * @param signals what the sender has observed of the replicas that the page covers, by id; empty
 *     while load-aware placement is inactive
 */
public record FleetReport(
        MemberInfo self,
        long sequence,
        int load,
        int fleetSize,
        int regionVms,
        StorePosition published,
        Map<String, CustomerUse> customers,
        Map<String, UpstreamUse> upstreams,
        List<SessionCacheEntry> reads,
        ReportPage page,
        boolean readsStore,
        List<MemberObservation> others,
        QuarantineReport quarantine,
        Optional<Set<String>> unreachable,
        Map<String, Integer> rejectionLimits,
        Map<String, SilenceCounts> silences,
        Map<String, UpstreamSignals> signals) {
    /** Copies the collections. */
    public FleetReport {
        customers = Map.copyOf(customers);
        upstreams = Map.copyOf(upstreams);
        reads = List.copyOf(reads);
        others = List.copyOf(others);
        unreachable = unreachable.map(Set::copyOf);
        rejectionLimits = Map.copyOf(rejectionLimits);
        silences = Map.copyOf(silences);
        signals = Map.copyOf(signals);
    }

    /**
     * Starts a report that contains only its sender.
     *
     * @param self the sender
     * @param sequence increases with each report of one incarnation
     * @return a builder
     */
    public static Builder builder(MemberInfo self, long sequence) {
        return new Builder(self, sequence);
    }

    /**
     * Copies the report without the session reads, which would be outdated before they have reached
     * all VMs of other regions over several rounds.
     *
     * @return a copy with an empty list of reads
     */
    public FleetReport withoutReads() {
        return new Builder(this).reads(List.of()).build();
    }

    /**
     * Copies the report with other observations.
     *
     * @param observations VMs that the sender has heard of
     * @return a copy
     */
    FleetReport withOthers(List<MemberObservation> observations) {
        return new Builder(this).others(observations).build();
    }

    /** Builds a report. Not thread-safe. */
    public static final class Builder {
        private final MemberInfo self;
        private final long sequence;
        private int load;
        private int fleetSize;
        private int regionVms;
        private StorePosition published = StorePosition.START;
        private Map<String, CustomerUse> customers = Map.of();
        private Map<String, UpstreamUse> upstreams = Map.of();
        private List<SessionCacheEntry> reads = List.of();
        private ReportPage page = ReportPage.WHOLE;
        private boolean readsStore;
        private List<MemberObservation> others = List.of();
        private QuarantineReport quarantine = QuarantineReport.EMPTY;
        private Optional<Set<String>> unreachable = Optional.empty();
        private Map<String, Integer> rejectionLimits = Map.of();
        private Map<String, SilenceCounts> silences = Map.of();
        private Map<String, UpstreamSignals> signals = Map.of();

        private Builder(MemberInfo self, long sequence) {
            this.self = Objects.requireNonNull(self, "self");
            this.sequence = sequence;
        }

        private Builder(FleetReport report) {
            this(report.self, report.sequence);
            load = report.load;
            fleetSize = report.fleetSize;
            regionVms = report.regionVms;
            published = report.published;
            customers = report.customers;
            upstreams = report.upstreams;
            reads = report.reads;
            page = report.page;
            readsStore = report.readsStore;
            others = report.others;
            quarantine = report.quarantine;
            unreachable = report.unreachable;
            rejectionLimits = report.rejectionLimits;
            silences = report.silences;
            signals = report.signals;
        }

        /**
         * Sets the processor time that the sender's requests need.
         *
         * @param milliCores thousandths of a core
         * @return this
         */
        public Builder load(int milliCores) {
            load = milliCores;
            return this;
        }

        /**
         * Sets the number of VMs that the sender has heard of since its start.
         *
         * @param vms number, the sender included
         * @return this
         */
        public Builder fleetSize(int vms) {
            fleetSize = vms;
            return this;
        }

        /**
         * Sets the number of running VMs that the sender knows in its region.
         *
         * @param vms number, the sender included
         * @return this
         */
        public Builder regionVms(int vms) {
            regionVms = vms;
            return this;
        }

        /**
         * Sets the sender's state with regard to the platform's store.
         *
         * @param position position of the store that the sender has reached
         * @param answers true if the store has recently answered the sender itself
         * @return this
         */
        public Builder store(StorePosition position, boolean answers) {
            published = position;
            readsStore = answers;
            return this;
        }

        /**
         * Sets the state of the customers' token buckets on the sender.
         *
         * @param uses bucket states by customer name
         * @return this
         */
        public Builder customers(Map<String, CustomerUse> uses) {
            customers = uses;
            return this;
        }

        /**
         * Sets the requests that the sender has outstanding.
         *
         * @param uses outstanding requests by upstream id
         * @return this
         */
        public Builder upstreams(Map<String, UpstreamUse> uses) {
            upstreams = uses;
            return this;
        }

        /**
         * Sets the sessions whose prompts engines have recently processed for the sender.
         *
         * @param sessions sessions with the engine that processed each
         * @return this
         */
        public Builder reads(List<SessionCacheEntry> sessions) {
            reads = sessions;
            return this;
        }

        /**
         * Sets which part of the sender's upstreams and customers the report contains.
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
         * @param observations VMs
         * @return this
         */
        public Builder others(List<MemberObservation> observations) {
            others = observations;
            return this;
        }

        /**
         * Sets what the sender knows of prompt parts that crash engines.
         *
         * @param report holds and evidence
         * @return this
         */
        public Builder quarantine(QuarantineReport report) {
            quarantine = report;
            return this;
        }

        /**
         * Sets the replicas of the sender's region that the sender can't reach at present.
         *
         * @param replicas ids of those that the page covers
         * @return this
         */
        public Builder unreachable(Set<String> replicas) {
            unreachable = Optional.of(replicas);
            return this;
        }

        /**
         * Sets the limits that replicas have announced to the sender.
         *
         * @param limits rejections in a second that replicas survive, by service
         * @return this
         */
        public Builder rejectionLimits(Map<String, Integer> limits) {
            rejectionLimits = limits;
            return this;
        }

        /**
         * Sets the replicas that leave requests of the sender unanswered.
         *
         * @param counts counts of those that the page covers, by replica id
         * @return this
         */
        public Builder silences(Map<String, SilenceCounts> counts) {
            silences = counts;
            return this;
        }

        /**
         * Sets what the sender has observed of replicas.
         *
         * @param observed signals of those that the page covers, by replica id
         * @return this
         */
        public Builder signals(Map<String, UpstreamSignals> observed) {
            signals = observed;
            return this;
        }

        /**
         * Builds the report.
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
                    published,
                    customers,
                    upstreams,
                    reads,
                    page,
                    readsStore,
                    others,
                    quarantine,
                    unreachable,
                    rejectionLimits,
                    silences,
                    signals);
        }
    }
}
