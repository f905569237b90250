package io.vanillapoint.core.fleet;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Entry VMs that find each other by heartbeats in virtual time: delay and loss, cuts, kills, frozen
 * VMs. A process that starts knows its seeds alone, as on the users' VMs.
 */
public final class VirtualMembers {
    /** Least number of VMs that settings with three zones tell. */
    public static final int SMALLEST_FLEET = 6;

    /** Time between two steps in milliseconds. */
    public static final long STEP_MILLIS = 20;

    private static final long REGION_DELAY_MILLIS = 1;
    private static final long FAR_DELAY_MILLIS = 56;
    private static final int BEATS_PER_GREETING = 12;
    private static final int VMS_PER_GREETING = 16;
    private static final int LOST_OF_A_HUNDRED = 1;

    private final Random random;
    private final Listener listener;
    private final List<Node> nodes = new ArrayList<>();
    private final Set<Long> cutPairs = new HashSet<>();
    private final PriorityQueue<Mail> mail = new PriorityQueue<>();
    private long now = 1_000;
    private int nextMail;
    private boolean namesLost;

    /**
     * Starts all VMs.
     *
     * @param random seeded
     * @param vmsByRegion number of VMs of each region
     * @param listener hears of starts and heartbeats
     */
    public VirtualMembers(Random random, int[] vmsByRegion, Listener listener) {
        this.random = random;
        this.listener = listener;
        for (int region = 0; region < vmsByRegion.length; region++) {
            for (int i = 0; i < vmsByRegion[region]; i++) {
                nodes.add(new Node(nodes.size(), region, i == 0));
            }
        }
        nodes.forEach(Node::start);
    }

    /** All VMs, by region. */
    public List<Node> nodes() {
        return nodes;
    }

    /** Steady time in milliseconds. */
    public long now() {
        return now;
    }

    /** Lets one step of time pass. */
    public void step() {
        now += STEP_MILLIS;
        while (!mail.isEmpty() && mail.peek().at <= now) {
            Mail next = mail.poll();
            if (next.to.up()) {
                next.to.receive(next.report);
            }
        }
        nodes.forEach(Node::beat);
    }

    /** From now on heartbeats arrive without the names of other VMs. */
    public void loseNames() {
        namesLost = true;
    }

    /** Cuts or restores the way from one VM to another. */
    public void cut(Node one, Node other, boolean cut) {
        if (cut) {
            cutPairs.add(pair(one, other));
        } else {
            cutPairs.remove(pair(one, other));
        }
    }

    /** Restores all ways. */
    public void healAll() {
        cutPairs.clear();
    }

    private static long pair(Node one, Node other) {
        return one.index * 1_000L + other.index;
    }

    private void send(Node from, Node to, FleetReport report) {
        if (to == from
                || cutPairs.contains(pair(from, to))
                || random.nextInt(100) < LOST_OF_A_HUNDRED) {
            return;
        }
        long delay = to.region == from.region ? REGION_DELAY_MILLIS : FAR_DELAY_MILLIS;
        FleetReport arriving = namesLost ? withoutNames(report) : report;
        mail.add(new Mail(now + delay, nextMail++, to, arriving));
    }

    private static FleetReport withoutNames(FleetReport report) {
        return FleetReport.builder(report.self(), report.sequence())
                .load(report.load())
                .fleetSize(report.fleetSize())
                .regionVms(report.regionVms())
                .store(report.publishedRevision(), report.readsStore())
                .customers(report.customers())
                .upstreams(report.upstreams())
                .reads(report.reads())
                .page(report.page())
                .build();
    }

    /** What a test adds to the VMs. */
    public interface Listener {
        /** A process starts with a fresh view. */
        void started(Node node);

        /** What a VM knows of customers' tokens. */
        default Map<String, CustomerUse> customers(Node node) {
            return Map.of();
        }

        /** What a VM has outstanding. */
        default Map<String, UpstreamUse> upstreams(Node node) {
            return Map.of();
        }

        /** A heartbeat has arrived. */
        default void heard(Node node, List<CustomerSpend> spends) {}

        /** Thousandths of a core that the requests of a VM need. */
        default int load(Node node) {
            return 0;
        }
    }

    /** A heartbeat on its way. */
    private record Mail(long at, int order, Node to, FleetReport report)
            implements Comparable<Mail> {
        @Override
        public int compareTo(Mail other) {
            return at != other.at
                    ? Long.compare(at, other.at)
                    : Integer.compare(order, other.order);
        }
    }

    /** One VM. */
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

        /** Place among all VMs. */
        public int index() {
            return index;
        }

        /** Number of its region. */
        public int region() {
            return region;
        }

        /** What the process knows of the others. */
        public FleetView view() {
            return view;
        }

        /** VMs that the process has heard of. */
        public VmRoster roster() {
            return roster;
        }

        /** Steady time at which its process started. */
        public long startedAt() {
            return startedAt;
        }

        /** Ends the process; the next one starts after a while. */
        public void kill(long millis) {
            downUntil = now + millis;
            start();
        }

        /** Stops the process for a while. */
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
            view = new FleetView(self, FleetTiming.DEFAULT, SMALLEST_FLEET);
            roster =
                    new VmRoster(
                            self,
                            Set.of(self.zone()),
                            SMALLEST_FLEET,
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
            roster.heard(report, now);
            listener.heard(this, view.receive(report, now));
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
            int each = BEATS_PER_GREETING * (1 + view.members().size() / VMS_PER_GREETING);
            boolean alone = view.members().isEmpty();
            boolean greetsSeeds = alone || ++beats % each == 0;
            if (!alone) {
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
            ReportPager.Knowledge knowledge =
                    new ReportPager.Knowledge(
                            listener.customers(this),
                            listener.upstreams(this),
                            List.of(),
                            view.heardMembers(now));
            pager.fill(next, view.self(), knowledge, kind.mostMembers());
            return next.build();
        }

        private String host() {
            return "10.0.0." + index;
        }
    }
}
