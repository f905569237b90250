package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vanillapoint.core.upstream.FailingFleet.Counts;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Replicas that report good health and fail their requests at once, so that they appear idle.
 * Guards against VMs that each have to find out on their own, from a request every few seconds.
 * Shares are relative to those of the mean replica.
 */
class FailingReplicasTest {
    private static final int SEEDS = 3;
    private static final int FAILING = 8;
    private static final int THREE_QUARTERS = 33;
    private static final double USUAL_RATE = 0.01;
    private static final long WARM_UP_MILLIS = 8_000;
    private static final long SECOND = 1_000;

    /** Share of a replica that receives trials only: 2.5 of 22 requests in a second, and chance. */
    private static final double TRIAL_SHARE = 0.3;

    @ParameterizedTest
    @MethodSource("seeds")
    void shareFallsToTrialsWithinASecond(int seed) {
        FailingFleet fleet = warm(seed, true);
        fleet.fail(FAILING, 1, USUAL_RATE);
        fleet.run(SECOND);
        Counts second = fleet.run(SECOND);
        Counts later = fleet.run(2 * SECOND);
        assertThat(second.shareOfFirst(FAILING), is(lessThanOrEqualTo(TRIAL_SHARE)));
        assertThat(later.shareOfFirst(FAILING), is(lessThanOrEqualTo(TRIAL_SHARE)));
        assertThat("trials", later.shareOfFirst(FAILING), is(greaterThan(0.0)));
    }

    /** The plain rule lets each VM find out on its own, and uses the idle replicas most. */
    @ParameterizedTest
    @MethodSource("seeds")
    void plainRuleKeepsUsingFailingReplicas(int seed) {
        FailingFleet fleet = warm(seed, false);
        fleet.fail(FAILING, 1, USUAL_RATE);
        fleet.run(SECOND);
        assertThat(fleet.run(SECOND).shareOfFirst(FAILING), is(greaterThan(1.0)));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void soundReplicasAreBackInUseAfterAboutASecond(int seed) {
        FailingFleet fleet = warm(seed, true);
        fleet.fail(FAILING, 1, USUAL_RATE);
        fleet.run(6 * SECOND);
        fleet.fail(0, 0, USUAL_RATE);
        fleet.run(SECOND);
        assertThat(fleet.run(SECOND).shareOfFirst(FAILING), is(greaterThanOrEqualTo(2 / 3.0)));
    }

    /** The plain rule forgets failures only by responses, which it does not ask for. */
    @ParameterizedTest
    @MethodSource("seeds")
    void plainRuleDoesNotUseSoundReplicasAgain(int seed) {
        FailingFleet fleet = warm(seed, false);
        fleet.fail(FAILING, 1, USUAL_RATE);
        fleet.run(6 * SECOND);
        fleet.fail(0, 0, USUAL_RATE);
        fleet.run(SECOND);
        assertThat(fleet.run(SECOND).shareOfFirst(FAILING), is(lessThan(2 / 3.0)));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void replicasThatFailThreeOfFourRequestsAreEjected(int seed) {
        FailingFleet fleet = warm(seed, true);
        fleet.fail(FAILING, 0.75, USUAL_RATE);
        fleet.run(2 * SECOND);
        assertThat(fleet.run(4 * SECOND).shareOfFirst(FAILING), is(lessThanOrEqualTo(0.4)));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void threeQuartersOfTheReplicasAreEjected(int seed) {
        FailingFleet fleet = warm(seed, true);
        fleet.fail(THREE_QUARTERS, 1, USUAL_RATE);
        fleet.run(2 * SECOND);
        assertThat(
                fleet.run(3 * SECOND).shareOfFirst(THREE_QUARTERS),
                is(lessThanOrEqualTo(TRIAL_SHARE)));
        fleet.fail(0, 0, USUAL_RATE);
        fleet.run(2 * SECOND);
        assertThat(
                fleet.run(3 * SECOND).shareOfFirst(THREE_QUARTERS),
                is(greaterThanOrEqualTo(2 / 3.0)));
    }

    /** A service that fails as a whole, and one whose requests fail at the same rate anywhere. */
    @ParameterizedTest
    @CsvSource({"1, 1.0", "2, 1.0", "3, 1.0", "1, 0.5", "2, 0.5", "1, 0.14", "2, 0.14"})
    void replicasThatAllFailEquallyAreAllUsed(int seed, double rate) {
        FailingFleet fleet = warm(seed, true);
        fleet.fail(FailingFleet.REPLICAS, rate, rate);
        fleet.run(2 * SECOND);
        Counts counts = fleet.run(5 * SECOND);
        assertThat("least", counts.least(), is(greaterThan(0.2)));
        assertThat("most", counts.most(), is(lessThan(2.5)));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void lateReportsDelayTheEjectionOnly(int seed) {
        FailingFleet fleet = warm(seed, true);
        fleet.delaySignals(SECOND);
        fleet.fail(FAILING, 1, USUAL_RATE);
        fleet.run(3 * SECOND);
        assertThat(fleet.run(3 * SECOND).shareOfFirst(FAILING), is(lessThanOrEqualTo(TRIAL_SHARE)));
        fleet.fail(0, 0, USUAL_RATE);
        fleet.run(3 * SECOND);
        assertThat(fleet.run(3 * SECOND).shareOfFirst(FAILING), is(greaterThanOrEqualTo(2 / 3.0)));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void withoutReportsEachVmUsesItsOwnCounts(int seed) {
        FailingFleet fleet = warm(seed, true);
        fleet.loseSignals(true);
        fleet.fail(FAILING, 1, USUAL_RATE);
        fleet.run(10 * SECOND);
        assertThat(fleet.run(5 * SECOND).shareOfFirst(FAILING), is(lessThanOrEqualTo(0.4)));
        fleet.fail(0, 0, USUAL_RATE);
        fleet.run(5 * SECOND);
        assertThat(fleet.run(5 * SECOND).shareOfFirst(FAILING), is(greaterThanOrEqualTo(2 / 3.0)));
    }

    /** Restarted VMs have no counts; they learn of the ejections from the others. */
    @ParameterizedTest
    @MethodSource("seeds")
    void restartedVmsLearnWhichReplicasAreEjected(int seed) {
        FailingFleet fleet = warm(seed, true);
        fleet.fail(FAILING, 1, USUAL_RATE);
        fleet.run(3 * SECOND);
        fleet.restart(FailingFleet.VMS / 3);
        fleet.run(2 * SECOND);
        assertThat(fleet.run(2 * SECOND).shareOfFirst(FAILING), is(lessThanOrEqualTo(TRIAL_SHARE)));
        fleet.fail(0, 0, USUAL_RATE);
        fleet.restart(FailingFleet.VMS / 3);
        fleet.run(SECOND);
        assertThat(fleet.run(SECOND).shareOfFirst(FAILING), is(greaterThanOrEqualTo(2 / 3.0)));
    }

    private static FailingFleet warm(int seed, boolean loadAware) {
        FailingFleet fleet = new FailingFleet(seed, loadAware);
        fleet.fail(0, 0, USUAL_RATE);
        fleet.run(WARM_UP_MILLIS);
        return fleet;
    }

    static IntStream seeds() {
        return IntStream.rangeClosed(1, SEEDS);
    }
}
