package io.vanillapoint.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * To whom the next heartbeat goes.
 *
 * <p>Load pattern: customers spend their tokens, and engines are filled, through the few VMs of a
 * large fleet that carry requests; what these have heard of each other seconds ago is outdated.
 * Invariants: a VM sends to at most a fixed number of VMs at once, however many there are, and
 * reaches each of them within the same number of rounds, so a VM's own cost stays flat from nine
 * VMs to hundreds while news takes longer; VMs that carry requests also reach each other in turn,
 * so in every round while they are few. Confined to one thread.
 */
public final class HeartbeatPlan {
    /** VMs of the own region in one round: all of them on small deployments. */
    private static final int REGION_FANOUT = 5;

    /** VMs of other regions in one round. */
    private static final int OTHER_FANOUT = 8;

    /** Load in thousandths of a core from which a VM carries requests: five of them a second. */
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
     * @param timing times of the protocol
     */
    public HeartbeatPlan(FleetTiming timing) {
        this.timing = timing;
    }

    /**
     * Rounds until all VMs of the own region were sent to.
     *
     * @param others number of other VMs in the region
     * @return 1 or more
     */
    public static int regionRounds(int others) {
        return rounds(others, REGION_FANOUT);
    }

    /**
     * Rounds until all VMs of other regions were sent to.
     *
     * @param others number of VMs in other regions
     * @return 1 or more
     */
    public static int otherRounds(int others) {
        return rounds(others, OTHER_FANOUT);
    }

    /**
     * VMs of the round that begins now.
     *
     * @param view the fleet
     * @param nowMillis steady time
     * @return to whom heartbeats go
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
     * Sorts only after a VM has come or gone: a beat is short and frequent. VMs that start at the
     * same moment begin at different places of the order, or each VM would hear all others at once
     * and then nobody for a while.
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

    /** VMs of which some are due. */
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
     * To whom heartbeats go at once. Immutable.
     *
     * @param near IP addresses of VMs of the own region
     * @param others IP addresses of VMs of other regions
     * @param othersInTurn true if VMs of other regions are reached in several rounds
     */
    public record Round(List<String> near, List<String> others, boolean othersInTurn) {
        /**
         * All addresses.
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
