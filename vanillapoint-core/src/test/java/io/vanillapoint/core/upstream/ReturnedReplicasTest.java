package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Half of the replicas can't be reached for four seconds, by any VM, and then can be again. */
class ReturnedReplicasTest {
    private static final long CUT_MILLIS = 5_000;
    private static final long HEALED_MILLIS = 9_000;

    /** Time after which the whole capacity has to be used again. */
    private static final long RETURN_MILLIS = 1_000;

    private static final long OBSERVED_MILLIS = 2_000;
    private static final int CUT_REPLICAS = 7;

    @ParameterizedTest
    @MethodSource("seeds")
    void returnedReplicasAreUsedAtTheirFullRateWithinASecond(long seed) {
        CutFleet fleet = new CutFleet(seed, true, CUT_REPLICAS);
        fleet.run(CUT_MILLIS - OBSERVED_MILLIS);
        CutFleet.Counts before = fleet.run(CUT_MILLIS);
        fleet.cut(true);
        CutFleet.Counts during = fleet.run(HEALED_MILLIS);
        fleet.cut(false);
        fleet.run(HEALED_MILLIS + RETURN_MILLIS);
        CutFleet.Counts after = fleet.run(HEALED_MILLIS + RETURN_MILLIS + OBSERVED_MILLIS);
        assertThat("refused in the cut", during.refused(), is(greaterThan(50)));
        assertThat("refused after it", after.refused(), is(lessThanOrEqualTo(before.refused())));
        assertThat(
                "placed on the replicas that were cut off",
                after.placedOnCutReplicas(),
                is(greaterThan(before.placedOnCutReplicas() * 4 / 5)));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void replicasThatRestartedBehindTheCutGetTheColdRate(long seed) {
        assertColdRateOfRestartedReplicas(new CutFleet(seed, true, CUT_REPLICAS));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void replicasThatTellNoStartAndRestartedBehindTheCutGetTheColdRate(long seed) {
        assertColdRateOfRestartedReplicas(new CutFleet(seed, false, CUT_REPLICAS));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void replicasThatTellNoStartAreUsedAtTheirFullRateOnceTheirEntryMustHaveArrived(long seed) {
        CutFleet fleet = new CutFleet(seed, false, CUT_REPLICAS);
        CutFleet.Counts before = fleet.run(CUT_MILLIS);
        fleet.cut(true);
        fleet.run(HEALED_MILLIS);
        fleet.cut(false);
        fleet.run(HEALED_MILLIS + RETURN_MILLIS + 3_000);
        CutFleet.Counts after = fleet.run(HEALED_MILLIS + 3_000 + CUT_MILLIS);
        assertThat("refused after it", after.refused(), is(lessThanOrEqualTo(before.refused())));
    }

    private static void assertColdRateOfRestartedReplicas(CutFleet fleet) {
        fleet.run(CUT_MILLIS);
        fleet.cut(true);
        fleet.run(HEALED_MILLIS);
        fleet.restartCutReplicas();
        fleet.cut(false);
        fleet.run(HEALED_MILLIS + CutFleet.COLD_MILLIS);
        assertThat(
                fleet.mostColdArrivalsInASecond(),
                is(lessThanOrEqualTo(CutFleet.MAX_COLD_IN_A_SECOND)));
        assertThat("requests to cold replicas", fleet.coldArrivals(), is(greaterThan(20)));
        CutFleet.Counts after = fleet.run(HEALED_MILLIS + 2 * CutFleet.COLD_MILLIS);
        assertThat("placed once they are warm", after.placedOnCutReplicas(), is(greaterThan(100)));
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 20);
    }
}
