package io.vanillapoint.core.fleet;

import io.vanillapoint.core.published.StorePosition;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * State of another VM as known to this one.
 *
 * <p>Invariant: the incarnation never decreases, and the sequence never decreases within one
 * incarnation. Confined to one thread.
 */
public final class Member {
    /** Above the planned number of customers. */
    private static final int MAX_CUSTOMERS = 32_768;

    private MemberInfo info;
    private long heardAtMillis;
    private long lastReportMillis = Long.MIN_VALUE / 2;
    private long sequence = -1;
    private long drainingSinceMillis = Long.MIN_VALUE / 2;
    private long avoidUntilMillis = Long.MIN_VALUE;
    private StorePosition published = StorePosition.START;
    private boolean readsStore;
    private int load;
    private int fleetSize;
    private Map<String, CustomerUse> customers = new HashMap<>();
    private boolean allCustomersKnown;
    private Map<String, UpstreamUse> countedUse = new HashMap<>();

    Member(MemberInfo info, long heardAtMillis) {
        this.info = info;
        this.heardAtMillis = heardAtMillis;
    }

    /**
     * What the VM last reported about itself.
     *
     * @return the VM
     */
    public MemberInfo info() {
        return info;
    }

    /**
     * Position of the platform's store that the VM has reached.
     *
     * @return position, {@link StorePosition#START} if unknown
     */
    public StorePosition published() {
        return published;
    }

    /** True if the platform's store answers the VM itself, according to the VM's last report. */
    boolean readsStore() {
        return readsStore;
    }

    /**
     * Processor time that the VM's requests need, in thousandths of a core, according to its last
     * report.
     */
    int load() {
        return load;
    }

    /**
     * Number of VMs known to the VM, according to its last report; 0 if this process has received
     * none.
     */
    int fleetSize() {
        return fleetSize;
    }

    /**
     * Outstanding use of the VM, by upstream, that is included in the sum over all VMs. Mutable.
     */
    Map<String, UpstreamUse> countedUse() {
        return countedUse;
    }

    /**
     * When the VM was last heard of, directly or through others.
     *
     * @return monotonic time in milliseconds
     */
    public long heardAtMillis() {
        return heardAtMillis;
    }

    /**
     * When a report from the VM itself last arrived.
     *
     * @return monotonic time in milliseconds
     */
    public long lastReportMillis() {
        return lastReportMillis;
    }

    /** When the VM began to drain; far in the past if this process did not observe the change. */
    long drainingSinceMillis() {
        return drainingSinceMillis;
    }

    void avoidUntil(long millis) {
        avoidUntilMillis = millis;
    }

    boolean avoided(long nowMillis) {
        return nowMillis < avoidUntilMillis;
    }

    /**
     * Tokens that the VM had admitted for a customer, according to its last report; empty if it may
     * have admitted some before this process first heard of them.
     */
    OptionalLong admittedTokens(String customer) {
        CustomerUse known = customers.get(customer);
        if (known != null) {
            return OptionalLong.of(known.tokens());
        }
        return allCustomersKnown ? OptionalLong.of(0) : OptionalLong.empty();
    }

    boolean supersedes(FleetReport report) {
        long incarnation = report.self().incarnation();
        return incarnation < info.incarnation()
                || (incarnation == info.incarnation() && report.sequence() <= sequence);
    }

    void apply(FleetReport report, long nowMillis) {
        updateDrainStart(report.self(), nowMillis);
        if (report.self().incarnation() != info.incarnation()) {
            resetCustomers();
        }
        allCustomersKnown |= !report.page().customersLeftOut();
        info = report.self();
        sequence = report.sequence();
        published = report.published();
        readsStore = report.readsStore();
        load = report.load();
        fleetSize = report.fleetSize();
        mergeCustomers(report.customers());
        heardAtMillis = nowMillis;
        lastReportMillis = nowMillis;
    }

    void observe(MemberObservation observation, long nowMillis) {
        long observedAtMillis = nowMillis - observation.ageMillis();
        if (observation.info().incarnation() < info.incarnation()) {
            return;
        }
        if (observation.info().incarnation() > info.incarnation()) {
            updateDrainStart(observation.info(), observedAtMillis);
            info = observation.info();
            sequence = -1;
            load = 0;
            fleetSize = 0;
            resetCustomers();
            heardAtMillis = observedAtMillis;
        } else if (observedAtMillis > heardAtMillis) {
            boolean laterState = observation.info().state().ordinal() > info.state().ordinal();
            if (laterState) {
                updateDrainStart(observation.info(), observedAtMillis);
                info = observation.info();
            }
            heardAtMillis = observedAtMillis;
        }
    }

    /** Resets the customers: a process that has just started has admitted nothing. */
    /** What is spent by a customer beyond the limit is not told apart from what it had spent. */
    private void mergeCustomers(Map<String, CustomerUse> reported) {
        for (Map.Entry<String, CustomerUse> customer : reported.entrySet()) {
            if (customers.size() < MAX_CUSTOMERS || customers.containsKey(customer.getKey())) {
                customers.put(customer.getKey(), customer.getValue());
            } else {
                allCustomersKnown = false;
            }
        }
    }

    private void resetCustomers() {
        customers.clear();
        allCustomersKnown = true;
    }

    private void updateDrainStart(MemberInfo update, long nowMillis) {
        boolean sameIncarnation = update.incarnation() == info.incarnation();
        boolean startsDraining =
                info.state().compareTo(MemberState.DRAINING) < 0
                        && update.state() == MemberState.DRAINING;
        if (!sameIncarnation) {
            drainingSinceMillis = Long.MIN_VALUE / 2;
        } else if (startsDraining) {
            drainingSinceMillis = nowMillis;
        }
    }
}
