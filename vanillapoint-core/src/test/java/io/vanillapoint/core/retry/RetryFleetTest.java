package io.vanillapoint.core.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.describedAs;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vanillapoint.core.fleet.SimulatedFleet;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Total retries of all VMs to one service; each process knows only its seeds at its start. */
class RetryFleetTest {
    private static final double EVERY_REQUEST_FAILS = 1;

    /** VMs per region, requests per second and slack, as in the users' deployments. */
    @ParameterizedTest
    @CsvSource({"2,25,52", "3,24,58", "26,250,192"})
    void retryBoundHoldsWhenAllVmsStartTogether(int vmsPerRegion, int rate, double slack) {
        RetryFleet fleet = fleet(1, vmsPerRegion, slack);
        fleet.run(20_000, rate, EVERY_REQUEST_FAILS);
        fleet.members.nodes().forEach(vm -> vm.kill(1_000 + 50L * vm.index()));
        fleet.run(15_000, rate, EVERY_REQUEST_FAILS);
        assertThat(fleet.maxBoundUse(), lessThanOrEqualTo(1.0));
    }

    @ParameterizedTest
    @CsvSource({"2,25,52", "3,24,58", "26,250,192"})
    void retryBoundHoldsWhileOneVmIsKilledRepeatedly(int vmsPerRegion, int rate, double slack) {
        RetryFleet fleet = fleet(2, vmsPerRegion, slack);
        fleet.run(20_000, rate, EVERY_REQUEST_FAILS);
        for (int kill = 0; kill < 8; kill++) {
            fleet.members.nodes().get(0).kill(700);
            fleet.run(2_000, rate, EVERY_REQUEST_FAILS);
        }
        assertThat(fleet.maxBoundUse(), lessThanOrEqualTo(1.0));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void retryBoundHoldsWhileVmsAreKilledAndPartitioned(long seed) {
        Random random = new Random(seed);
        RetryFleet fleet = fleet(seed, 2 + random.nextInt(3), 52);
        fleet.run(random.nextInt(15_000), 40, EVERY_REQUEST_FAILS);
        for (int round = 0; round < 6; round++) {
            double failureRate = random.nextDouble();
            injectFaults(fleet, random);
            fleet.run(500 + random.nextInt(6_000), 10 + random.nextInt(80), failureRate);
            fleet.members.restoreAllLinks();
            fleet.run(random.nextInt(3_000), 10 + random.nextInt(80), failureRate);
        }
        assertThat(
                fleet.maxBoundUse(),
                describedAs("fraction of the retry bound, seed %0", lessThanOrEqualTo(1.0), seed));
    }

    @ParameterizedTest
    @CsvSource({"2,25,52", "26,250,192"})
    void nearlyAllFailuresAreRetriedAtALowFailureRate(int vmsPerRegion, int rate, double slack) {
        RetryFleet fleet = fleet(3, vmsPerRegion, slack);
        fleet.run(30_000, rate, 0.1);
        fleet.resetCounts();
        fleet.run(30_000, rate, 0.1);
        assertThat(fleet.retriedFraction(), greaterThan(0.95));
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 200);
    }

    private static RetryFleet fleet(long seed, int vmsPerRegion, double slack) {
        RetryBounds bounds = new RetryBounds(0.2, slack, RetryFleet.WINDOW_MILLIS);
        return new RetryFleet(seed, new int[] {vmsPerRegion, vmsPerRegion, vmsPerRegion}, bounds);
    }

    private static void injectFaults(RetryFleet fleet, Random random) {
        switch (random.nextInt(3)) {
            case 0 -> fleet.members.nodes().forEach(vm -> killSome(vm, random));
            case 1 -> cutRegion(fleet, random.nextInt(3));
            default -> {
                cutRegion(fleet, random.nextInt(3));
                fleet.members.nodes().forEach(vm -> killSome(vm, random));
            }
        }
    }

    private static void killSome(SimulatedFleet.Node vm, Random random) {
        if (random.nextInt(10) < 6) {
            vm.kill(200 + random.nextInt(3_000));
        }
    }

    private static void cutRegion(RetryFleet fleet, int region) {
        for (SimulatedFleet.Node one : fleet.members.nodes()) {
            for (SimulatedFleet.Node other : fleet.members.nodes()) {
                boolean across = (one.region() == region) != (other.region() == region);
                fleet.members.cut(one, other, across);
            }
        }
    }
}
