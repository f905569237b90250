package io.vanillapoint.core.grant;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.CustomerSpend;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.FleetTiming;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.HeartbeatPlan;
import io.vanillapoint.core.fleet.LoadMeter;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.published.CustomerSpec;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Entry VMs that count one customer's tokens, in virtual time: heartbeats with delay and loss,
 * cuts, kills, frozen VMs. Checks each window of the rule as it slides.
 */
final class GrantFleet {
    static final long WINDOW_MILLIS = 8_000;
    static final double OVERRUN = 0.25;
    static final double SLACK = 110_000;
    private static final long STEP_MILLIS = 20;
    private static final int SMALLEST_FLEET = 6;
    private static final long REGION_DELAY_MILLIS = 1;
    private static final long FAR_DELAY_MILLIS = 56;

    final Random random;
    final List<Vm> vms = new ArrayList<>();
    private final int carriersByRegion;
    private CustomerSpec customer;
    private final Set<Long> cutPairs = new HashSet<>();
    private final PriorityQueue<Mail> mail = new PriorityQueue<>();
    private final ArrayDeque<long[]> window = new ArrayDeque<>();
    private long windowTokens;
    private double worstPart;
    private long asked;
    private long admitted;
    private long now = 1_000;
    private int nextMail;

    GrantFleet(long seed, int[] vmsByRegion, double rate) {
        this(seed, vmsByRegion, Integer.MAX_VALUE, rate);
    }

    /** A fleet of which a few VMs of each region carry the requests, the first that are up. */
    GrantFleet(long seed, int[] vmsByRegion, int carriersByRegion, double rate) {
        this.carriersByRegion = carriersByRegion;
        random = new Random(seed);
        customer =
                new CustomerSpec("c", Set.of("k"), OptionalInt.empty(), 200, rate, rate, Set.of());
        for (int region = 0; region < vmsByRegion.length; region++) {
            for (int i = 0; i < vmsByRegion[region]; i++) {
                vms.add(new Vm(vms.size(), region));
            }
        }
    }

    /** Lets time pass while each region sends requests of a mean size at a rate of tokens. */
    void run(long millis, double[] tokensPerSecondByRegion, double meanTokens) {
        long end = now + millis;
        while (now < end) {
            now += STEP_MILLIS;
            deliver();
            for (Vm vm : vms) {
                vm.beat();
            }
            for (int region = 0; region < tokensPerSecondByRegion.length; region++) {
                double requests =
                        tokensPerSecondByRegion[region] / meanTokens * STEP_MILLIS / 1_000.0;
                while (random.nextDouble() < requests) {
                    ask(region, (long) (meanTokens * (0.2 + 1.6 * random.nextDouble())));
                    requests -= 1;
                }
            }
        }
    }

    void cut(Vm one, Vm other, boolean cut) {
        if (cut) {
            cutPairs.add(pair(one, other));
        } else {
            cutPairs.remove(pair(one, other));
        }
    }

    void healAll() {
        cutPairs.clear();
    }

    void lower(double rate) {
        customer = customer(rate);
        for (Vm vm : vms) {
            vm.meter.configure(List.of(customer), vm.view.heardShare(now), now);
        }
    }

    /** Difference between the highest and the lowest copy of the bucket. */
    double spreadOfLevels() {
        LongSummaryStatistics levels =
                vms.stream()
                        .mapToLong(vm -> vm.meter.uses().get(customer.name()).level())
                        .summaryStatistics();
        return levels.getMax() - levels.getMin();
    }

    /** Largest part of the bound that any window has reached. */
    double worstPart() {
        return worstPart;
    }

    double admittedPart() {
        return asked == 0 ? 1 : (double) admitted / asked;
    }

    void resetCounts() {
        asked = 0;
        admitted = 0;
    }

    private void ask(int region, long tokens) {
        List<Vm> near =
                vms.stream()
                        .filter(vm -> vm.region == region && vm.up())
                        .limit(carriersByRegion)
                        .toList();
        asked += tokens;
        if (near.isEmpty()) {
            return;
        }
        Vm vm = near.get(random.nextInt(near.size()));
        vm.load.request(now);
        if (vm.take(tokens)) {
            admitted += tokens;
            count(tokens);
        }
    }

    private void count(long tokens) {
        window.addLast(new long[] {now, tokens});
        windowTokens += tokens;
        while (window.peekFirst()[0] <= now - WINDOW_MILLIS) {
            windowTokens -= window.removeFirst()[1];
        }
        double seconds = WINDOW_MILLIS / 1_000.0;
        double bound =
                (customer.ratePerSecond() * seconds + customer.burst()) * (1 + OVERRUN) + SLACK;
        worstPart = Math.max(worstPart, windowTokens / bound);
    }

    private void deliver() {
        while (!mail.isEmpty() && mail.peek().at <= now) {
            Mail next = mail.poll();
            if (next.to.up()) {
                Vm to = next.to;
                List<CustomerSpend> spends = to.view.receive(next.report, now);
                to.meter.spentElsewhere(spends, to.view.heardShare(now), now);
            }
        }
    }

    private static CustomerSpec customer(double rate) {
        return new CustomerSpec("c", Set.of("k"), OptionalInt.empty(), 200, rate, rate, Set.of());
    }

    private static long pair(Vm one, Vm other) {
        return one.index * 1_000L + other.index;
    }

    /** A heartbeat on its way. */
    private record Mail(long at, int order, Vm to, FleetReport report) implements Comparable<Mail> {
        @Override
        public int compareTo(Mail other) {
            return at != other.at
                    ? Long.compare(at, other.at)
                    : Integer.compare(order, other.order);
        }
    }

    /** One VM. */
    final class Vm {
        final int index;
        final int region;
        private FleetView view;
        private GrantMeter meter;
        private HeartbeatPlan plan;
        private LoadMeter load;
        private long incarnation;
        private long downUntil;
        private long frozenUntil;
        private long nextBeat;

        Vm(int index, int region) {
            this.index = index;
            this.region = region;
            start();
        }

        void kill(long millis) {
            downUntil = now + millis;
            start();
        }

        void freeze(long millis) {
            frozenUntil = now + millis;
        }

        boolean up() {
            return now >= downUntil && now >= frozenUntil;
        }

        boolean take(long tokens) {
            return meter.take(customer, tokens, view.heardShare(now), now).admitted();
        }

        private void start() {
            incarnation++;
            MemberInfo self =
                    new MemberInfo(
                            "vm-" + index,
                            host(),
                            new RegionId("r" + region),
                            new ZoneId("z" + region),
                            MemberInfo.ONE_CORE,
                            incarnation,
                            MemberState.READY);
            view = new FleetView(self, FleetTiming.DEFAULT, SMALLEST_FLEET);
            meter = new GrantMeter(new GrantTolerance(SLACK));
            meter.configure(List.of(customer), view.heardShare(now), now);
            plan = new HeartbeatPlan(FleetTiming.DEFAULT);
            load = new LoadMeter();
        }

        private void beat() {
            if (!up() || now < nextBeat) {
                return;
            }
            nextBeat = now + FleetTiming.DEFAULT.regionIntervalMillis();
            view.prune(now);
            FleetReport.Builder next =
                    view.nextReport(load.milliCores(now)).customers(meter.uses());
            FleetReport report = next.others(view.heardMembers(now)).build();
            Set<String> hosts = new HashSet<>(plan.next(view, now).all());
            for (Vm other : vms) {
                boolean send = view.members().isEmpty() || hosts.contains(other.host());
                if (send
                        && other != this
                        && !cutPairs.contains(pair(this, other))
                        && random.nextInt(100) != 0) {
                    long delay = other.region == region ? REGION_DELAY_MILLIS : FAR_DELAY_MILLIS;
                    mail.add(new Mail(now + delay, nextMail++, other, report));
                }
            }
        }

        private String host() {
            return "10.0.0." + index;
        }
    }
}
