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
    private static final int CARRYING_LOAD = 5 * LoadMeter.REQUEST_MILLIS;

    private final FleetTiming timing;
    private List<Member> ordered = List.of();
    private long orderedAt = -1;
    private int place;
    private int regionTurn;
    private int otherTurn;
    private long otherSentAtMillis = Long.MIN_VALUE / 2;

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
     * @param nowMillis steady time
     * @return recipients of the heartbeats
     */
    public Round next(FleetView view, long nowMillis) {
        Targets near = new Targets();
        Targets far = new Targets();
        boolean carries = view.selfLoad() >= CARRYING_LOAD;
        for (Member member : ordered(view)) {
            boolean local = member.info().region().equals(view.self().region());
            boolean partner = carries && member.load() >= CARRYING_LOAD;
            (local ? near : far).add(member.info().host(), partner);
        }
        List<String> others = List.of();
        if (nowMillis - otherSentAtMillis >= timing.otherIntervalMillis()) {
            otherSentAtMillis = nowMillis;
            others = far.turn(place + otherTurn++, OTHER_FANOUT);
        }
        boolean inTurn = otherRounds(far.all.size()) > 1;
        return new Round(near.turn(place + regionTurn++, REGION_FANOUT), others, inTurn);
    }

    /**
     * Returns the members sorted by name. Sorts again only after a VM has joined or left, because
     * rounds are short and frequent. Each VM starts at another position of the order; if VMs that
     * start at the same time began at the same one, each VM would hear from all others at once and
     * then from nobody for a while.
     */
    private List<Member> ordered(FleetView view) {
        if (orderedAt != view.membersVersion()) {
            orderedAt = view.membersVersion();
            ordered = new ArrayList<>(view.members());
            ordered.sort(Comparator.comparing(member -> member.info().vm()));
            String self = view.self().vm();
            place =
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
        private final List<String> partners = new ArrayList<>();

        void add(String host, boolean partner) {
            all.add(host);
            if (partner) {
                partners.add(host);
            }
        }

        List<String> turn(int turn, int fanout) {
            Set<String> due = new LinkedHashSet<>(turn(all, turn, fanout));
            due.addAll(turn(partners, turn, fanout));
            return List.copyOf(due);
        }

        private static List<String> turn(List<String> hosts, int turn, int fanout) {
            int rounds = rounds(hosts.size(), fanout);
            List<String> chosen = new ArrayList<>();
            for (int i = turn % rounds; i < hosts.size(); i += rounds) {
                chosen.add(hosts.get(i));
            }
            return chosen;
        }
    }

    /**
     * Recipients of one round of heartbeats. Immutable.
     *
     * @param near IP addresses of VMs of the own region
     * @param others IP addresses of VMs of other regions
     * @param othersInTurn true if it takes several rounds to reach all VMs of other regions
     */
    public record Round(List<String> near, List<String> others, boolean othersInTurn) {
        /**
         * Addresses of all recipients.
         *
         * @return new list
         */
        public List<String> all() {
            List<String> hosts = new ArrayList<>(near);
            hosts.addAll(others);
            return hosts;
        }
    }
}
