package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vanillapoint.core.upstream.HangingFleet.Counts;
import io.vanillapoint.core.upstream.HangingFleet.Workload;
import java.util.Arrays;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Replicas that accept requests and never answer some of them, although their health is good. */
class HangingReplicasTest {
    private static final int SEEDS = 20;
    private static final int HANGING = 3;
    private static final long FAIR_SHARE_MILLIS = 10_000;

    /** Time after which requests have to go elsewhere. */
    private static final long NOTICED_MILLIS = 2_000;

    /** Time after which replicas that are sound again have to be used. */
    private static final long TAKEN_BACK_MILLIS = 5_000;

    private static final long OBSERVED_MILLIS = 5_000;

    /** Part of their fair share that replicas get at most while they hang requests. */
    private static final double MAX_PART_WHILE_HANGING = 1 / 3.0;

    /** Part of their fair share that replicas get at least once they are sound. */
    private static final double MIN_PART_WHEN_SOUND = 2 / 3.0;

    @ParameterizedTest
    @MethodSource("seedsAndWorkloads")
    void replicasThatHangSomeRequestsGetFewOfThemWithinTwoSeconds(int seed, Workload workload) {
        HangingFleet fleet = new HangingFleet(seed, workload);
        double fairShare = shareOfHanging(fleet.run(FAIR_SHARE_MILLIS));
        fleet.hang(HANGING);
        fleet.run(NOTICED_MILLIS);
        Counts noticed = fleet.run(OBSERVED_MILLIS);
        assertThat(
                shareOfHanging(noticed), is(lessThanOrEqualTo(fairShare * MAX_PART_WHILE_HANGING)));
        assertThat("trials", noticed.placedOnFirst(HANGING), is(greaterThan(0)));
        assertThat("refused", noticed.refused, is(0));
    }

    /** Sessions that have moved stay where their prompts are cached, so there are none here. */
    @ParameterizedTest
    @MethodSource("seedsAndWorkloadsWithoutCache")
    void replicasThatNoLongerHangAreUsedAgain(int seed, Workload workload) {
        HangingFleet fleet = new HangingFleet(seed, workload);
        double fairShare = shareOfHanging(fleet.run(FAIR_SHARE_MILLIS));
        fleet.hang(HANGING);
        fleet.run(2 * OBSERVED_MILLIS);
        fleet.hang(0);
        fleet.run(TAKEN_BACK_MILLIS);
        Counts sound = fleet.run(OBSERVED_MILLIS);
        assertThat(
                shareOfHanging(sound), is(greaterThanOrEqualTo(fairShare * MIN_PART_WHEN_SOUND)));
    }

    /** Pauses of one to two seconds over all replicas, some of them at the same time. */
    @ParameterizedTest
    @MethodSource("seedsAndWorkloads")
    void soundReplicaThatPausesIsNotSuspectedASecondLater(int seed, Workload workload) {
        HangingFleet fleet = new HangingFleet(seed, workload);
        fleet.run(FAIR_SHARE_MILLIS);
        for (int round = 0; round < 10; round++) {
            int pauses = 1 + fleet.randomInt(HangingFleet.REPLICAS);
            for (int i = 0; i < pauses; i++) {
                fleet.pause(fleet.randomInt(HangingFleet.REPLICAS), 1_000 + fleet.randomInt(1_000));
            }
            Counts during = fleet.run(2_000);
            Counts after = fleet.run(1_000);
            assertThat("refused", during.refused + after.refused, is(0));
            assertThat("suspected replicas", fleet.suspected(), is(0L));
        }
    }

    @ParameterizedTest
    @MethodSource("seedsAndWorkloads")
    void requestsGoOnIfAllReplicasHangSomeOfThem(int seed, Workload workload) {
        HangingFleet fleet = new HangingFleet(seed, workload);
        fleet.run(FAIR_SHARE_MILLIS);
        fleet.hang(HangingFleet.REPLICAS);
        fleet.run(NOTICED_MILLIS);
        Counts hanging = fleet.run(2 * OBSERVED_MILLIS);
        assertThat("refused", hanging.refused, is(0));
        assertThat(
                leastShare(hanging),
                is(greaterThan(MAX_PART_WHILE_HANGING / HangingFleet.REPLICAS)));
    }

    /** Twice as many prompts as the engines can process. */
    @ParameterizedTest
    @MethodSource("seeds")
    void overloadIsNotTakenForHanging(int seed) {
        HangingFleet fleet = new HangingFleet(seed, Workload.NEW_SESSIONS);
        fleet.run(FAIR_SHARE_MILLIS);
        fleet.run(NOTICED_MILLIS, 5);
        Counts overload = fleet.run(OBSERVED_MILLIS, 5);
        assertThat(
                leastShare(overload),
                is(greaterThanOrEqualTo(MIN_PART_WHEN_SOUND / HangingFleet.REPLICAS)));
    }

    /** VMs do not know yet that all engines are slow, so callers leave without an answer. */
    @ParameterizedTest
    @MethodSource("seeds")
    void enginesThatAreAllSlowAreUsedEvenly(int seed) {
        HangingFleet fleet = new HangingFleet(seed, Workload.NEW_SESSIONS);
        fleet.run(FAIR_SHARE_MILLIS);
        fleet.slowDown(5);
        fleet.run(NOTICED_MILLIS);
        Counts slow = fleet.run(2 * OBSERVED_MILLIS);
        assertThat(
                leastShare(slow),
                is(greaterThanOrEqualTo(MIN_PART_WHEN_SOUND / HangingFleet.REPLICAS)));
    }

    private static double shareOfHanging(Counts counts) {
        return (double) counts.placedOnFirst(HANGING) / counts.total();
    }

    private static double leastShare(Counts counts) {
        return (double) Arrays.stream(counts.placed).min().orElseThrow() / counts.total();
    }

    static IntStream seeds() {
        return IntStream.rangeClosed(1, SEEDS);
    }

    static Stream<Arguments> seedsAndWorkloads() {
        return Stream.of(Workload.values()).flatMap(HangingReplicasTest::withSeeds);
    }

    static Stream<Arguments> seedsAndWorkloadsWithoutCache() {
        return Stream.of(Workload.NEW_SESSIONS, Workload.PLAIN)
                .flatMap(HangingReplicasTest::withSeeds);
    }

    private static Stream<Arguments> withSeeds(Workload workload) {
        return seeds().mapToObj(seed -> Arguments.of(seed, workload));
    }
}
