package io.vanillapoint.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Chooses the recipients of each heartbeat.
 *
 * <p>Handles large fleets in which only a few VMs carry requests: customers spend their tokens and
 * engines fill up through these VMs, so what they know of each other is outdated within seconds.
 * Invariants: a VM sends to a bounded number of VMs per round, whatever the size of the fleet, and
 * reaches each of them within the same number of rounds, so its own cost stays flat from nine VMs
 * to hundreds while news takes longer to spread; VMs that carry requests also reach each other in
 * rotation, which means in every round while there are few of them. Confined to one thread.
 */
public final class HeartbeatPlan {
    /** Maximum number of VMs of the own region per round; all of them in small deployments. */
    private static final int REGION_FANOUT = 5;

    /** Maximum number of VMs of other regions per round. */
    private static final int OTHER_FANOUT = 8;

    /**
     * Load in thousandths of a core from which a VM counts as carrying requests: five requests per
     * second.
     */
    private static final int MIN_TRAFFIC_LOAD = 5 * LoadMeter.REQUEST_CPU_MILLIS;

    private final FleetTiming timing;
    private List<Member> ordered = List.of();
    private long orderedVersion = -1;
    private int startOffset;
    private int regionRound;
    private int otherRound;
    private long otherRoundAtMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a plan.
     *
     * @param timing intervals and timeouts of the protocol
     */
    public HeartbeatPlan(FleetTiming timing) {
        this.timing = timing;
    }

    /**
     * Number of rounds until a heartbeat was sent to every VM of the own region.
     *
     * @param others number of other VMs in the region
     * @return 1 or more
     */
    public static int regionRounds(int others) {
        return rounds(others, REGION_FANOUT);
    }

    /**
     * Number of rounds until a heartbeat was sent to every VM of other regions.
     *
     * @param others number of VMs in other regions
     * @return 1 or more
     */
    public static int otherRounds(int others) {
        return rounds(others, OTHER_FANOUT);
    }

    /**
     * Starts the next round and returns its recipients.
     *
     * @param view the fleet
     * @param nowMillis monotonic time
     * @return recipients of the heartbeats
     */
    public Round next(FleetView view, long nowMillis) {
        Targets sameRegion = new Targets();
        Targets otherRegions = new Targets();
        boolean selfCarriesRequests = view.selfLoad() >= MIN_TRAFFIC_LOAD;
        for (Member member : ordered(view)) {
            boolean inOwnRegion = member.info().region().equals(view.self().region());
            boolean bothCarryRequests = selfCarriesRequests && member.load() >= MIN_TRAFFIC_LOAD;
            (inOwnRegion ? sameRegion : otherRegions).add(member.info().host(), bothCarryRequests);
        }
        List<String> others = List.of();
        if (nowMillis - otherRoundAtMillis >= timing.otherIntervalMillis()) {
            otherRoundAtMillis = nowMillis;
            others = otherRegions.forRound(startOffset + otherRound++, OTHER_FANOUT);
        }
        boolean severalRounds = otherRounds(otherRegions.all.size()) > 1;
        return new Round(
                sameRegion.forRound(startOffset + regionRound++, REGION_FANOUT),
                others,
                severalRounds);
    }

    /**
     * Returns the members sorted by name. Sorts again only after a VM has joined or left, because
     * rounds are short and frequent. Each VM starts at another position of the order; if VMs that
     * start at the same time began at the same one, each VM would hear from all others at once and
     * then from nobody for a while.
     */
    private List<Member> ordered(FleetView view) {
        if (orderedVersion != view.membersVersion()) {
            orderedVersion = view.membersVersion();
            ordered = new ArrayList<>(view.members());
            ordered.sort(Comparator.comparing(member -> member.info().vm()));
            String self = view.self().vm();
            startOffset =
                    (int)
                            ordered.stream()
                                    .filter(member -> member.info().vm().compareTo(self) < 0)
                                    .count();
        }
        return ordered;
    }

    private static int rounds(int others, int fanout) {
        return Math.max(1, (others + fanout - 1) / fanout);
    }

    /** Potential recipients, of which each round takes a part. */
    private static final class Targets {
        private final List<String> all = new ArrayList<>();
        private final List<String> requestCarriers = new ArrayList<>();

        void add(String host, boolean carriesRequests) {
            all.add(host);
            if (carriesRequests) {
                requestCarriers.add(host);
            }
        }

        List<String> forRound(int round, int fanout) {
            Set<String> recipients = new LinkedHashSet<>(forRound(all, round, fanout));
            recipients.addAll(forRound(requestCarriers, round, fanout));
            return List.copyOf(recipients);
        }

        private static List<String> forRound(List<String> hosts, int round, int fanout) {
            int rounds = rounds(hosts.size(), fanout);
            List<String> recipients = new ArrayList<>();
            for (int i = round % rounds; i < hosts.size(); i += rounds) {
                recipients.add(hosts.get(i));
            }
            return recipients;
        }
    }

    /**
     * Recipients of one round of heartbeats. Immutable.
     *
     * @param sameRegion IP addresses of VMs of the own region
     * @param others IP addresses of VMs of other regions
     * @param othersInSeveralRounds true if it takes several rounds to reach all VMs of other
     *     regions
     */
    public record Round(
            List<String> sameRegion, List<String> others, boolean othersInSeveralRounds) {
        /**
         * Addresses of all recipients.
         *
         * @return new list
         */
        public List<String> all() {
            List<String> hosts = new ArrayList<>(sameRegion);
            hosts.addAll(others);
            return hosts;
        }
    }
}
