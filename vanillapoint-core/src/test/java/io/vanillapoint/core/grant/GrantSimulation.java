package io.vanillapoint.core.grant;

import io.vanillapoint.core.fleet.CustomerSpend;
import io.vanillapoint.core.fleet.CustomerUse;
import io.vanillapoint.core.fleet.LoadMeter;
import io.vanillapoint.core.fleet.SimulatedFleet;
import io.vanillapoint.core.published.CustomerSpec;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;

/**
 * Simulates entry VMs that limit one customer's tokens, in virtual time. Compares every sliding
 * window with the bound.
 */
final class GrantSimulation implements SimulatedFleet.Listener {
    static final long WINDOW_MILLIS = 8_000;
    static final double OVERRUN_FRACTION = 0.25;
    static final double SLACK = 110_000;

    final SimulatedFleet members;
    private final Random random;
    private final List<Vm> vms = new ArrayList<>();
    private final int servingVmsPerRegion;
    private CustomerSpec customer;
    private final ArrayDeque<long[]> window = new ArrayDeque<>();
    private long windowTokens;
    private double maxBoundFraction;
    private long requestedTokens;
    private long admittedTokens;

    GrantSimulation(long seed, int[] vmsByRegion, double rate) {
        this(seed, vmsByRegion, Integer.MAX_VALUE, rate);
    }

    /** Creates a fleet in which only the first few running VMs of each region serve requests. */
    GrantSimulation(long seed, int[] vmsByRegion, int servingVmsPerRegion, double rate) {
        this.servingVmsPerRegion = servingVmsPerRegion;
        random = new Random(seed);
        customer = customer(rate);
        members = new SimulatedFleet(random, vmsByRegion, this);
    }

    /** Advances time while each region sends requests of a mean size at a rate of tokens. */
    void run(long millis, double[] tokensPerSecondByRegion, double meanTokens) {
        long end = members.now() + millis;
        while (members.now() < end) {
            members.step();
            for (int region = 0; region < tokensPerSecondByRegion.length; region++) {
                double requests =
                        tokensPerSecondByRegion[region]
                                / meanTokens
                                * SimulatedFleet.STEP_MILLIS
                                / 1_000.0;
                while (random.nextDouble() < requests) {
                    sendRequest(region, (long) (meanTokens * (0.2 + 1.6 * random.nextDouble())));
                    requests -= 1;
                }
            }
        }
    }

    void lowerRate(double rate) {
        customer = customer(rate);
        for (Vm vm : vms) {
            vm.meter.configure(List.of(customer), vm.heardFraction(), members.now());
        }
    }

    /** Difference between the highest and the lowest copy of the bucket. */
    double levelSpread() {
        LongSummaryStatistics levels =
                vms.stream()
                        .flatMapToLong(vm -> vm.meter.level(customer.name()).stream())
                        .summaryStatistics();
        return levels.getMax() - levels.getMin();
    }

    /** Largest fraction of the bound that the tokens of any window have reached. */
    double maxBoundFraction() {
        return maxBoundFraction;
    }

    double admittedFraction() {
        return requestedTokens == 0 ? 1 : (double) admittedTokens / requestedTokens;
    }

    void resetCounts() {
        requestedTokens = 0;
        admittedTokens = 0;
    }

    @Override
    public void started(SimulatedFleet.Node node) {
        if (node.index() == vms.size()) {
            vms.add(new Vm(node));
        }
        vms.get(node.index()).start();
    }

    @Override
    public Map<String, CustomerUse> customers(SimulatedFleet.Node node) {
        return vms.get(node.index()).meter.localUsage();
    }

    @Override
    public void heard(SimulatedFleet.Node node, List<CustomerSpend> spends) {
        Vm vm = vms.get(node.index());
        vm.meter.chargeRemote(spends, vm.heardFraction(), members.now());
    }

    @Override
    public int load(SimulatedFleet.Node node) {
        return vms.get(node.index()).load.milliCores(members.now());
    }

    private void sendRequest(int region, long tokens) {
        List<Vm> candidates =
                vms.stream()
                        .filter(vm -> vm.node.region() == region && vm.node.up())
                        .limit(servingVmsPerRegion)
                        .toList();
        requestedTokens += tokens;
        if (candidates.isEmpty()) {
            return;
        }
        Vm vm = candidates.get(random.nextInt(candidates.size()));
        vm.load.request(members.now());
        if (vm.tryAdmit(tokens)) {
            admittedTokens += tokens;
            recordAdmission(tokens);
        }
    }

    private void recordAdmission(long tokens) {
        window.addLast(new long[] {members.now(), tokens});
        windowTokens += tokens;
        while (window.peekFirst()[0] <= members.now() - WINDOW_MILLIS) {
            windowTokens -= window.removeFirst()[1];
        }
        double seconds = WINDOW_MILLIS / 1_000.0;
        double bound =
                (customer.ratePerSecond() * seconds + customer.burst()) * (1 + OVERRUN_FRACTION)
                        + SLACK;
        maxBoundFraction = Math.max(maxBoundFraction, windowTokens / bound);
    }

    private static CustomerSpec customer(double rate) {
        return new CustomerSpec("c", Set.of("k"), OptionalInt.empty(), 200, rate, rate, Set.of());
    }

    /** State of one VM. */
    private final class Vm {
        private final SimulatedFleet.Node node;
        private GrantMeter meter;
        private LoadMeter load;

        Vm(SimulatedFleet.Node node) {
            this.node = node;
        }

        private void start() {
            meter = new GrantMeter(new GrantTolerance(SLACK));
            meter.configure(List.of(customer), heardFraction(), node.startedAt());
            load = new LoadMeter();
        }

        private boolean tryAdmit(long tokens) {
            return meter.tryAcquire(customer, tokens, heardFraction(), members.now()).admitted();
        }

        private double heardFraction() {
            return node.view().heardFraction(members == null ? 0 : members.now());
        }
    }
}
