package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.Rosters;
import io.vanillapoint.core.fleet.SimulatedFleet;
import io.vanillapoint.core.fleet.VmRoster;
import io.vanillapoint.core.published.EngineSpec;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.published.UpstreamReplica;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Rate of a cold replica over all VMs of a region while VMs restart and discover each other. */
class ColdFleetTest {
    private static final double PER_SECOND = 2.9;
    private static final double OVERRUN = 1.5;
    private static final double SLACK = 3;

    /** VMs of one region at the largest size that operators plan for. */
    private static final int MAX_VMS = 31;

    private static final ServiceSpec SERVICE =
            new ServiceSpec(
                    "s", 100, 3_000, PER_SECOND, Optional.of(new EngineSpec(8, 1_000, false)));

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void coldRateHoldsWhileSingleVmsRestart(long seed) {
        Random random = new Random(seed);
        List<String> names = new ArrayList<>();
        int vms = 1 + random.nextInt(MAX_VMS);
        for (int i = 0; i < vms; i++) {
            names.add("vm-" + i);
        }
        List<UpstreamPool> pools = new ArrayList<>();
        List<VmRoster> rosters = new ArrayList<>();
        for (String name : names) {
            pools.add(pool(0));
            rosters.add(Rosters.withMembers(name, names, 0));
        }
        Arrivals arrivals = new Arrivals();
        for (long now = 0; now < 20_000; now += 5) {
            int vm = random.nextInt(vms);
            if (random.nextInt(400) == 0) {
                pools.set(vm, pool(now));
                rosters.set(vm, Rosters.withMembers(names.get(vm), names, now));
            }
            UpstreamPool pool = pools.get(vm);
            ReplicaTracker replica = pool.replica("cold").orElseThrow();
            if (pool.maySelect(replica, SERVICE, rosters.get(vm), now)) {
                replica.dispatched(0, null, now);
                arrivals.add(now);
            }
        }
        assertThat(arrivals.mostInASecond(), lessThanOrEqualTo(PER_SECOND * OVERRUN + SLACK));
        assertThat(arrivals.count(), greaterThan(10));
    }

    /** Processes that start together know only their seeds and could all take ownership. */
    @ParameterizedTest
    @MethodSource("seeds")
    void coldRateHoldsWhileAllVmsOfALargeFleetRestart(long seed) {
        Random random = new Random(seed);
        Map<Integer, UpstreamPool> pools = new HashMap<>();
        SimulatedFleet members =
                new SimulatedFleet(
                        random,
                        new int[] {MAX_VMS, MAX_VMS, MAX_VMS},
                        node -> pools.put(node.index(), pool(node.startedAt())));
        Arrivals arrivals = new Arrivals();
        for (int step = 0; step < 1_000; step++) {
            members.step();
            long now = members.now();
            if (step == 400) {
                members.nodes().forEach(node -> node.kill(500 + random.nextInt(1_500)));
            }
            for (SimulatedFleet.Node node : members.nodes()) {
                if (node.region() != 0 || !node.up()) {
                    continue;
                }
                UpstreamPool pool = pools.get(node.index());
                ReplicaTracker replica = pool.replica("cold").orElseThrow();
                if (pool.maySelect(replica, SERVICE, node.roster(), now)) {
                    replica.dispatched(0, null, now);
                    arrivals.add(now);
                }
            }
        }
        assertThat(arrivals.mostInASecond(), lessThanOrEqualTo(PER_SECOND * OVERRUN + SLACK));
        assertThat(arrivals.count(), greaterThan(10));
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 40);
    }

    private static UpstreamPool pool(long now) {
        UpstreamPool pool = new UpstreamPool(Map.of(Replicas.ZONE, new RegionId("r")));
        UpstreamReplica replica = Replicas.ready("cold", 1, 60_000);
        pool.publish(replica, Optional.of(SERVICE), now);
        return pool;
    }
}
