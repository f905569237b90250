package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.core.upstream.RelayFleet.PathLoss;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** VMs that reach no replica, while the other VMs of their region do. */
class CutOffVmTest {
    private static final long WARM_UP_MILLIS = 3_000;

    /** A failed connection, and two heartbeats. */
    private static final long DETECTION_MILLIS = 800;

    private static final long MEASURED_MILLIS = 6_000;
    private static final double HALF_LOAD_PER_SECOND = 240;
    private static final double LIGHT_LOAD_PER_SECOND = 90;

    static Stream<Arguments> seedsAndLosses() {
        return IntStream.rangeClosed(1, 10)
                .boxed()
                .flatMap(
                        seed -> Stream.of(PathLoss.values()).map(loss -> Arguments.of(seed, loss)));
    }

    @ParameterizedTest
    @MethodSource("seedsAndLosses")
    void requestsBoundToTheRegionAreServedByItsOtherVms(int seed, PathLoss loss) {
        RelayFleet fleet = cutOff(seed, loss, Set.of(0));
        fleet.run(MEASURED_MILLIS, HALF_LOAD_PER_SECOND);
        assertThat("refused by VM", fleet.counts().refusedByVm, anEmptyMap());
        assertThat(fleet.counts().requests, hasKey(0));
        assertThat(fleet.counts().regionRelaysByVm, hasKey(0));
    }

    @ParameterizedTest
    @MethodSource("seedsAndLosses")
    void oneVmThatStillReachesReplicasServesTheRegion(int seed, PathLoss loss) {
        RelayFleet fleet = cutOff(seed, loss, Set.of(0, 1));
        fleet.run(MEASURED_MILLIS, HALF_LOAD_PER_SECOND);
        assertThat("refused by VM", fleet.counts().refusedByVm, anEmptyMap());
    }

    @ParameterizedTest
    @MethodSource("seedsAndLosses")
    void connectionsToReplicasOutOfReachEndWithinTwoHeartbeats(int seed, PathLoss loss) {
        RelayFleet fleet = cutOff(seed, loss, Set.of(0, 1));
        fleet.run(MEASURED_MILLIS, HALF_LOAD_PER_SECOND);
        assertThat(fleet.counts().failedConnections, is(0));
    }

    @ParameterizedTest
    @MethodSource("seedsAndLosses")
    void directoryLeavesOutVmsThatReachNoReplica(int seed, PathLoss loss) {
        RelayFleet fleet = cutOff(seed, loss, Set.of(0));
        fleet.run(MEASURED_MILLIS, HALF_LOAD_PER_SECOND);
        assertThat(fleet.callerVms(0), containsInAnyOrder("vm-1", "vm-2"));
        assertThat(fleet.callerVms(2), containsInAnyOrder("vm-1", "vm-2"));
        fleet.cutOff(Set.of(1, 2), loss);
        fleet.run(MEASURED_MILLIS, HALF_LOAD_PER_SECOND);
        assertThat(fleet.callerVms(2), containsInAnyOrder("vm-0", "vm-1", "vm-2"));
    }

    @ParameterizedTest
    @MethodSource("seedsAndLosses")
    void refusalNamesThePathWhileNoVmOfTheRegionReachesAReplica(int seed, PathLoss loss) {
        RelayFleet fleet = cutOff(seed, loss, Set.of(0, 1, 2));
        fleet.run(DETECTION_MILLIS, HALF_LOAD_PER_SECOND);
        fleet.counts().reset();
        fleet.run(MEASURED_MILLIS, HALF_LOAD_PER_SECOND);
        assertThat(fleet.counts().reasons, contains(RefusalReason.REPLICAS_UNREACHABLE));
    }

    @ParameterizedTest
    @MethodSource("seedsAndLosses")
    void vmUsesItsReplicasAgainSoonAfterThePathIsBack(int seed, PathLoss loss) {
        RelayFleet fleet = cutOff(seed, loss, Set.of(0, 1));
        fleet.run(MEASURED_MILLIS, HALF_LOAD_PER_SECOND);
        fleet.restorePaths();
        fleet.run(2 * DETECTION_MILLIS, HALF_LOAD_PER_SECOND);
        fleet.counts().reset();
        fleet.run(MEASURED_MILLIS, HALF_LOAD_PER_SECOND);
        assertThat("relays inside the region", fleet.counts().regionRelaysByVm, anEmptyMap());
        assertThat("refused by VM", fleet.counts().refusedByVm, anEmptyMap());
        assertThat(fleet.callerVms(2), containsInAnyOrder("vm-0", "vm-1", "vm-2"));
    }

    static IntStream seeds() {
        return IntStream.rangeClosed(1, 20);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void replicasThatCrashedAreNotTakenForALostPath(int seed) {
        RelayFleet fleet = new RelayFleet(seed);
        fleet.bindRequestsToRegions();
        fleet.run(WARM_UP_MILLIS, LIGHT_LOAD_PER_SECOND);
        fleet.takeDown(Set.of(RelayFleet.engine(0, 0), RelayFleet.engine(0, 1)));
        fleet.run(2 * DETECTION_MILLIS, LIGHT_LOAD_PER_SECOND);
        fleet.counts().reset();
        fleet.run(MEASURED_MILLIS, LIGHT_LOAD_PER_SECOND);
        assertThat("relays inside the region", fleet.counts().regionRelaysByVm, anEmptyMap());
        assertThat("refused by VM", fleet.counts().refusedByVm, anEmptyMap());
        assertThat(fleet.counts().totalRequests(), greaterThan(0));
    }

    private static RelayFleet cutOff(int seed, PathLoss loss, Set<Integer> vms) {
        RelayFleet fleet = new RelayFleet(seed);
        fleet.bindRequestsToRegions();
        fleet.run(WARM_UP_MILLIS, HALF_LOAD_PER_SECOND);
        fleet.cutOff(vms, loss);
        fleet.run(DETECTION_MILLIS, HALF_LOAD_PER_SECOND);
        fleet.counts().reset();
        return fleet;
    }
}
