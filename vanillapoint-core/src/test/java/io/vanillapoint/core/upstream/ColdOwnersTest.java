package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.SimulatedFleet;
import io.vanillapoint.core.published.EngineSpec;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.published.UpstreamReplica;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Rate of a cold replica over all VMs of a region that have different member lists, so that too
 * many of them could consider themselves owners. Each VM has a request for the replica in every
 * step.
 */
class ColdOwnersTest {
    private static final double PER_SECOND = 1.7;

    /** The operators' limit on arrivals in one second from all VMs. */
    private static final double MAX_IN_A_SECOND = PER_SECOND * 1.5 + 3;

    private static final ServiceSpec SERVICE =
            new ServiceSpec(
                    "s", 100, 3_000, PER_SECOND, Optional.of(new EngineSpec(8, 1_000, false)));

    /** VMs by region after the users' deployment grew. */
    private static final int[] GROWN_FLEET = {23, 22, 23};

    /** VMs by region at the largest size that operators plan for. */
    private static final int[] PLANNED_FLEET = {31, 31, 31, 31, 31, 31, 31, 31, 31, 31, 30, 30};

    private final Map<Integer, UpstreamPool> pools = new HashMap<>();
    private final Arrivals arrivals = new Arrivals();

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void coldRateHoldsWhileRestartingVmsArePartitioned(long seed) {
        SimulatedFleet members = members(seed, GROWN_FLEET);
        run(members, 5_000);
        for (SimulatedFleet.Node one : members.nodes()) {
            for (SimulatedFleet.Node other : members.nodes()) {
                members.cut(one, other, one != other);
            }
        }
        members.nodes().forEach(node -> node.kill(500));
        run(members, 8_000);
        assertThat(arrivals.mostInASecond(), lessThanOrEqualTo(MAX_IN_A_SECOND));
        members.restoreAllLinks();
        int before = arrivals.count();
        run(members, 12_000);
        assertThat(arrivals.mostInASecond(), lessThanOrEqualTo(MAX_IN_A_SECOND));
        assertThat(
                "requests sent after the partition ends",
                arrivals.count() - before,
                greaterThan(5));
    }

    /**
     * Heartbeats that listed too many members were once truncated: each VM then knows only its
     * seeds and the VMs that have it as a seed.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void coldRateHoldsWhileHeartbeatsListNoOtherVms(long seed) {
        SimulatedFleet members = members(seed, GROWN_FLEET);
        members.removeNames();
        Random starts = new Random(seed);
        members.nodes().forEach(node -> node.kill(starts.nextInt(300)));
        run(members, 30_000);
        assertThat(arrivals.mostInASecond(), lessThanOrEqualTo(MAX_IN_A_SECOND));
    }

    @Test
    void coldRateHoldsWhenTheLargestFleetStartsTogether() {
        SimulatedFleet members = members(1, PLANNED_FLEET);
        run(members, 12_000);
        assertThat(arrivals.mostInASecond(), lessThanOrEqualTo(MAX_IN_A_SECOND));
        assertThat("sent", arrivals.count(), greaterThan(5));
    }

    private SimulatedFleet members(long seed, int[] vmsByRegion) {
        return new SimulatedFleet(
                new Random(seed),
                vmsByRegion,
                node -> pools.put(node.index(), pool(node.startedAt())));
    }

    private void run(SimulatedFleet members, long millis) {
        long end = members.now() + millis;
        while (members.now() < end) {
            members.step();
            members.nodes().stream()
                    .filter(node -> node.region() == 0 && node.up())
                    .forEach(node -> request(node, members.now()));
        }
    }

    private void request(SimulatedFleet.Node node, long now) {
        UpstreamPool pool = pools.get(node.index());
        ReplicaTracker replica = pool.replica("cold").orElseThrow();
        if (pool.maySelect(replica, SERVICE, node.roster(), now)) {
            replica.dispatched(0, null, now);
            arrivals.add(now);
        }
    }

    private static UpstreamPool pool(long now) {
        UpstreamPool pool = new UpstreamPool(Map.of(Replicas.ZONE, new RegionId("r")));
        UpstreamReplica replica = Replicas.ready("cold", 1, 600_000);
        pool.publish(replica, Optional.of(SERVICE), now);
        return pool;
    }
}
