package io.vanillapoint.core.fleet;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.quarantine.QuarantineReport;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Simulates entry VMs that discover each other by heartbeats, in virtual time, with delays, packet
 * loss, network partitions, killed and frozen processes. A process that starts knows only its
 * seeds, as on the users' VMs.
 */
public final class SimulatedFleet {
    /** Minimum fleet size that settings with three zones imply. */
    public static final int MIN_FLEET_SIZE = 6;

    /** Duration of a step in milliseconds. */
    public static final long STEP_MILLIS = 20;

    private static final long REGION_DELAY_MILLIS = 1;
    private static final long OTHER_REGION_DELAY_MILLIS = 56;
    private static final int BEATS_PER_GREETING = 12;
    private static final int VMS_PER_GREETING = 16;
    private static final int LOSS_PERCENT = 1;

    private final Random random;
    private final Listener listener;
    private final List<Node> nodes = new ArrayList<>();
    private final Set<Long> cutLinks = new HashSet<>();
    private final PriorityQueue<ReportInTransit> inTransit = new PriorityQueue<>();
    private long now = 1_000;
    private int nextOrder;
    private boolean namesRemoved;

    /**
     * Starts all VMs.
     *
     * @param random seeded
     * @param vmsByRegion number of VMs of each region
     * @param listener notified of process starts and heartbeats
     */
    public SimulatedFleet(Random random, int[] vmsByRegion, Listener listener) {
        this.random = random;
        this.listener = listener;
        for (int region = 0; region < vmsByRegion.length; region++) {
            for (int i = 0; i < vmsByRegion[region]; i++) {
                nodes.add(new Node(nodes.size(), region, i == 0));
            }
        }
        nodes.forEach(Node::start);
    }

    /** All VMs, ordered by region. */
    public List<Node> nodes() {
        return nodes;
    }

    /** Monotonic time in milliseconds. */
    public long now() {
        return now;
    }

    /** Advances the time by one step, delivers due heartbeats and sends new ones. */
    public void step() {
        now += STEP_MILLIS;
        while (!inTransit.isEmpty() && inTransit.peek().at <= now) {
            ReportInTransit next = inTransit.poll();
            if (next.to.up()) {
                next.to.receive(next.report);
            }
        }
        nodes.forEach(Node::beat);
    }

    /** Removes the names of other VMs from all heartbeats sent from now on. */
    public void removeNames() {
        namesRemoved = true;
    }

    /** Cuts or restores the link from one VM to another, in this direction only. */
    public void cut(Node one, Node other, boolean cut) {
        if (cut) {
            cutLinks.add(linkKey(one, other));
        } else {
            cutLinks.remove(linkKey(one, other));
        }
    }

    /** Restores all links. */
    public void restoreAllLinks() {
        cutLinks.clear();
    }

    private static long linkKey(Node one, Node other) {
        return one.index * 1_000L + other.index;
    }

    private void send(Node from, Node to, FleetReport report) {
        if (to == from
                || cutLinks.contains(linkKey(from, to))
                || random.nextInt(100) < LOSS_PERCENT) {
            return;
        }
        long delay = to.region == from.region ? REGION_DELAY_MILLIS : OTHER_REGION_DELAY_MILLIS;
        FleetReport arriving = namesRemoved ? withoutNames(report) : report;
        inTransit.add(new ReportInTransit(now + delay, nextOrder++, to, arriving));
    }

    private static FleetReport withoutNames(FleetReport report) {
        return FleetReport.builder(report.self(), report.sequence())
                .load(report.load())
                .fleetSize(report.fleetSize())
                .regionVms(report.regionVms())
                .store(report.published(), report.readsStore())
                .customers(report.customers())
                .upstreams(report.upstreams())
                .reads(report.reads())
                .page(report.page())
                .build();
    }

    /** What a build sends that doesn't report unreachable replicas. */
    private static FleetReport withoutReach(FleetReport report) {
        return FleetReport.builder(report.self(), report.sequence())
                .load(report.load())
                .fleetSize(report.fleetSize())
                .regionVms(report.regionVms())
                .store(report.published(), report.readsStore())
                .customers(report.customers())
                .upstreams(report.upstreams())
                .reads(report.reads())
                .page(report.page())
                .others(report.others())
                .quarantine(report.quarantine())
                .build();
    }

    /** Supplies the state of the VMs and observes their events. */
    public interface Listener {
        /** Called when a process starts with a new view. */
        void started(Node node);

        /** State of the customers' token buckets on a VM. */
        default Map<String, CustomerUse> customers(Node node) {
            return Map.of();
        }

        /** Requests that a VM has outstanding, by upstream. */
        default Map<String, UpstreamUse> upstreams(Node node) {
            return Map.of();
        }

        /** What a VM reports of prompt parts that crash engines. */
        default QuarantineReport quarantine(Node node) {
            return QuarantineReport.EMPTY;
        }

        /** Replicas of its region that a VM can't reach. */
        default Set<String> unreachable(Node node) {
            return Set.of();
        }

        /** Replicas that leave requests of a VM unanswered. */
        default Map<String, SilenceCounts> silences(Node node) {
            return Map.of();
        }

        /** What a VM has observed of replicas. */
        default Map<String, UpstreamSignals> signals(Node node) {
            return Map.of();
        }

        /** Tells whether a VM's build reports unreachable replicas. */
        default boolean reportsReach(Node node) {
            return true;
        }

        /** Called with what an arrived heartbeat reports of prompt parts that crash engines. */
        default void quarantine(Node node, QuarantineReport report) {}

        /** Called with a heartbeat that has arrived. */
        default void received(Node node, FleetReport report) {}

        /** Called when a heartbeat has arrived. */
        default void heard(Node node, List<CustomerSpend> spends) {}

        /** Processor time that the requests of a VM need, in thousandths of a core. */
        default int load(Node node) {
            return 0;
        }
    }

    /** A heartbeat in transit. */
    private record ReportInTransit(long at, int order, Node to, FleetReport report)
            implements Comparable<ReportInTransit> {
        @Override
        public int compareTo(ReportInTransit other) {
            return at != other.at
                    ? Long.compare(at, other.at)
                    : Integer.compare(order, other.order);
        }
    }

    /** A simulated VM. */
    public final class Node {
        private final int index;
        private final int region;
        private final boolean seed;
        private FleetView view;
        private VmRoster roster;
        private HeartbeatPlan plan;
        private ReportPager pager;
        private long incarnation;
        private long startedAt;
        private long downUntil;
        private long frozenUntil;
        private long nextBeat;
        private int beats;

        private Node(int index, int region, boolean seed) {
            this.index = index;
            this.region = region;
            this.seed = seed;
        }

        /** Index among all VMs. */
        public int index() {
            return index;
        }

        /** Index of its region. */
        public int region() {
            return region;
        }

        /** Membership view of the process. */
        public FleetView view() {
            return view;
        }

        /** Roster of the process. */
        public VmRoster roster() {
            return roster;
        }

        /** Monotonic time at which its process started. */
        public long startedAt() {
            return startedAt;
        }

        /** Kills the process; the next one starts after the given time. */
        public void kill(long millis) {
            downUntil = now + millis;
            start();
        }

        /** Suspends the process for the given time. */
        public void freeze(long millis) {
            frozenUntil = now + millis;
        }

        /** Tells whether the process runs. */
        public boolean up() {
            return now >= downUntil && now >= frozenUntil;
        }

        private void start() {
            incarnation++;
            startedAt = Math.max(now, downUntil);
            MemberInfo self =
                    new MemberInfo(
                            "vm-" + index,
                            host(),
                            new RegionId("r" + region),
                            new ZoneId("z" + region),
                            MemberInfo.ONE_CORE,
                            incarnation,
                            MemberState.READY);
            view = new FleetView(self, FleetTiming.DEFAULT, MIN_FLEET_SIZE);
            roster =
                    new VmRoster(
                            self,
                            Set.of(self.zone()),
                            MIN_FLEET_SIZE,
                            FleetTiming.DEFAULT,
                            startedAt);
            plan = new HeartbeatPlan(FleetTiming.DEFAULT);
            pager = new ReportPager(index + 1_000L * incarnation);
            beats = 0;
            nextBeat = startedAt;
            listener.started(this);
        }

        private void receive(FleetReport report) {
            boolean first = !view.knows(report.self().vm());
            roster.observe(report, now);
            listener.heard(this, view.receive(report, now));
            listener.quarantine(this, report.quarantine());
            listener.received(this, report);
            if (first && report.fleetSize() < view.knownVms()) {
                nodes.stream()
                        .filter(node -> node.host().equals(report.self().host()))
                        .forEach(node -> send(this, node, report(ReportKind.GREETING)));
            }
        }

        private void beat() {
            if (!up() || now < nextBeat) {
                return;
            }
            nextBeat = now + FleetTiming.DEFAULT.regionIntervalMillis();
            view.prune(now);
            roster.prune(now);
            int beatsPerGreeting =
                    BEATS_PER_GREETING * (1 + view.members().size() / VMS_PER_GREETING);
            boolean knowsNobody = view.members().isEmpty();
            boolean greetsSeeds = knowsNobody || ++beats % beatsPerGreeting == 0;
            if (!knowsNobody) {
                FleetReport report = report(ReportKind.BEAT);
                Set<String> hosts = new LinkedHashSet<>(plan.next(view, now).all());
                nodes.stream()
                        .filter(other -> hosts.contains(other.host()))
                        .forEach(other -> send(this, other, report));
            }
            if (greetsSeeds) {
                FleetReport report = report(ReportKind.GREETING);
                nodes.stream()
                        .filter(other -> other.seed)
                        .forEach(other -> send(this, other, report));
            }
        }

        private FleetReport report(ReportKind kind) {
            FleetReport.Builder next =
                    view.nextReport(listener.load(this)).regionVms(roster.runningRegionVms());
            ReportPager.Content content =
                    new ReportPager.Content(
                            listener.customers(this),
                            listener.upstreams(this),
                            List.of(),
                            view.observations(now),
                            listener.quarantine(Node.this),
                            listener.unreachable(Node.this),
                            Map.of(),
                            listener.silences(Node.this),
                            listener.signals(Node.this));
            pager.fill(next, view.self(), content, kind.maxMembers());
            return listener.reportsReach(Node.this) ? next.build() : withoutReach(next.build());
        }

        private String host() {
            return "10.0.0." + index;
        }
    }
}
