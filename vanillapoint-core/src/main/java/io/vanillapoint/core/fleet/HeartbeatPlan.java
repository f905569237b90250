package io.vanillapoint.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * To whom the next heartbeat goes.
 *
 * <p>Invariant: a VM sends to at most a fixed number of VMs at once, however many there are, and
 * reaches each of them within the same number of rounds; so a VM's own cost stays flat from nine
 * VMs to hundreds while news takes longer. Confined to one thread.
 */
public final class HeartbeatPlan {
    /** VMs of the own region in one round: all of them on small deployments. */
    private static final int REGION_FANOUT = 5;

    /** VMs of other regions in one round. */
    private static final int OTHER_FANOUT = 8;

    private final FleetTiming timing;
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
        List<String> near = new ArrayList<>();
        List<String> far = new ArrayList<>();
        view.members().stream()
                .map(Member::info)
                .sorted(Comparator.comparing(MemberInfo::vm))
                .forEach(
                        vm ->
                                (vm.region().equals(view.self().region()) ? near : far)
                                        .add(vm.host()));
        List<String> others = List.of();
        if (nowMillis - otherSentAtMillis >= timing.otherIntervalMillis()) {
            otherSentAtMillis = nowMillis;
            others = turn(far, otherTurn++, OTHER_FANOUT);
        }
        boolean inTurn = otherRounds(far.size()) > 1;
        return new Round(turn(near, regionTurn++, REGION_FANOUT), others, inTurn);
    }

    private static List<String> turn(List<String> hosts, int turn, int fanout) {
        int rounds = rounds(hosts.size(), fanout);
        List<String> chosen = new ArrayList<>();
        for (int i = turn % rounds; i < hosts.size(); i += rounds) {
            chosen.add(hosts.get(i));
        }
        return chosen;
    }

    private static int rounds(int others, int fanout) {
        return Math.max(1, (others + fanout - 1) / fanout);
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
