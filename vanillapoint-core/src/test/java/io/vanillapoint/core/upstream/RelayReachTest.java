package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Requests are relayed to regions whose VMs reach replicas. */
class RelayReachTest {
    private static final long WARM_UP_MILLIS = 3_000;
    private static final long DETECTION_MILLIS = 1_000;
    private static final long MEASURED_MILLIS = 6_000;

    /** As much as half of the engines can carry. */
    private static final double FULL_LOAD_PER_SECOND = 240;

    private static final double OVERLOAD_PER_SECOND = 370;
    private static final double LIGHT_LOAD_PER_SECOND = 90;

    static IntStream seeds() {
        return IntStream.rangeClosed(1, 20);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void relaysToRegionsThatCantServeEndWhileHalfOfTheReplicasAreOutOfReach(int seed) {
        assertThat(returnedRelaysPerRequest(seed, FULL_LOAD_PER_SECOND), lessThan(0.1));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void fewRelaysComeBackWhileTheReachableReplicasAreOverloaded(int seed) {
        assertThat(returnedRelaysPerRequest(seed, OVERLOAD_PER_SECOND), lessThan(0.2));
    }

    private static double returnedRelaysPerRequest(int seed, double requestsPerSecond) {
        RelayFleet fleet = new RelayFleet(seed);
        fleet.run(WARM_UP_MILLIS, requestsPerSecond);
        fleet.takeDown(fleet.randomHalf());
        fleet.run(DETECTION_MILLIS, requestsPerSecond);
        fleet.counts().reset();
        fleet.run(MEASURED_MILLIS, requestsPerSecond);
        return (double) fleet.counts().relaysNotPlaced / fleet.counts().totalRequests();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void replicasOfAnotherRegionGetRequestsAgainWithinASecondOfTheirVmsReachingThem(int seed) {
        RelayFleet fleet = new RelayFleet(seed);
        fleet.reportUnreachable(RelayFleet.engines(1));
        fleet.reportUnreachable(RelayFleet.engines(2));
        fleet.takeDown(RelayFleet.engines(0));
        fleet.run(WARM_UP_MILLIS, LIGHT_LOAD_PER_SECOND);
        fleet.counts().reset();
        fleet.run(DETECTION_MILLIS, LIGHT_LOAD_PER_SECOND);
        assertThat("relays to regions without reachable replicas", fleet.counts().relays, is(0));
        fleet.reportUnreachable(Set.of());
        fleet.counts().reset();
        fleet.run(DETECTION_MILLIS, LIGHT_LOAD_PER_SECOND);
        assertThat(fleet.counts().relays, greaterThan(0));
        assertThat(fleet.counts().relaysNotPlaced, is(0));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void buildThatReportsNoReachIsStillRelayedTo(int seed) {
        RelayFleet fleet = new RelayFleet(seed);
        fleet.runOldBuildOn(Set.of(3, 4, 5));
        fleet.takeDown(RelayFleet.engines(0));
        fleet.takeDown(RelayFleet.engines(2));
        fleet.run(WARM_UP_MILLIS, LIGHT_LOAD_PER_SECOND);
        fleet.counts().reset();
        fleet.run(MEASURED_MILLIS, LIGHT_LOAD_PER_SECOND);
        assertThat("refused with room", fleet.counts().refusedWithRoom, is(0));
        assertThat(fleet.counts().relays, greaterThan(0));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void nothingIsRefusedThatAReachableReplicaHasRoomFor(int seed) {
        RelayFleet fleet = new RelayFleet(seed);
        fleet.run(WARM_UP_MILLIS, LIGHT_LOAD_PER_SECOND);
        fleet.takeDown(fleet.randomHalf());
        fleet.run(DETECTION_MILLIS, LIGHT_LOAD_PER_SECOND);
        fleet.counts().reset();
        fleet.run(MEASURED_MILLIS, LIGHT_LOAD_PER_SECOND);
        assertThat("refused with room", fleet.counts().refusedWithRoom, is(0));
        assertThat(fleet.counts().totalRequests(), greaterThan(0));
    }
}
