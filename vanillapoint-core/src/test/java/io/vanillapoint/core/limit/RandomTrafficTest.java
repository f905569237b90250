package io.vanillapoint.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.TokenGrant;
import io.vanillapoint.api.model.VmId;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Compares the fleet with a single bucket without delays, under requests of two sizes at random
 * times and VMs: the fraction of wrongful refusals, with and without a short wait for tokens,
 * transfers between regions and restarts.
 */
class RandomTrafficTest {
    private static final TokenGrant GRANT = new TokenGrant(2_500, 8_000);
    private static final long WARM_UP_MILLIS = 20_000;
    private static final long RUN_MILLIS = 300_000;
    private static final long STEP_MILLIS = 25;
    private static final long WAIT_MILLIS = 250;
    private static final double SMALL = 75;
    private static final double LARGE = 1_125;

    private long restartMillis;

    @Test
    void shortWaitAndTransfersReduceWrongfulRefusals() {
        for (double load : new double[] {0.84, 0.95}) {
            Outcome plain = run(load, 0, false);
            Outcome waiting = run(load, WAIT_MILLIS, false);
            Outcome transferring = run(load, WAIT_MILLIS, true);
            assertThat(waiting.wrongfulFraction(), lessThanOrEqualTo(plain.wrongfulFraction()));
            assertThat(
                    transferring.wrongfulFraction(), lessThanOrEqualTo(waiting.wrongfulFraction()));
            assertThat(transferring.localFraction(), greaterThan(waiting.localFraction()));
        }
    }

    /**
     * A VM is killed every 30 s and restarts 2 s later, as in a rollout without graceful shutdown.
     */
    @Test
    void restartsCauseFewWrongfulRefusals() {
        Outcome steady = run(0.84, WAIT_MILLIS, true);
        restartMillis = 30_000;
        Outcome restarting = run(0.84, WAIT_MILLIS, true);
        assertThat(restarting.wrongfulFraction(), greaterThanOrEqualTo(steady.wrongfulFraction()));
        double oneVmShare = 1.0 / 4;
        assertThat(restarting.wrongfulFraction(), lessThan(oneVmShare));
    }

    private Outcome run(double load, long waitMillis, boolean transfers) {
        int withinRate = 0;
        int wrongful = 0;
        int granted = 0;
        int local = 0;
        for (int seed = 1; seed <= 3; seed++) {
            VirtualFleet fleet = runOnce(seed, load, waitMillis, transfers);
            withinRate += fleet.ideal.withinRate;
            wrongful += fleet.ideal.wronglyRefused;
            granted += fleet.granted;
            local += fleet.grantedInRegion;
        }
        Outcome outcome = new Outcome(wrongful / (double) withinRate, local / (double) granted);
        System.out.printf(
                "load %.2f, wait %3d ms, transfers %-5s, restart every %d ms: wrongfully refused %.5f of %d, "
                        + "granted without another region %.3f%n",
                load,
                waitMillis,
                transfers,
                restartMillis,
                outcome.wrongfulFraction(),
                withinRate,
                outcome.localFraction());
        return outcome;
    }

    private VirtualFleet runOnce(int seed, double load, long waitMillis, boolean transfers) {
        VirtualFleet fleet =
                new VirtualFleet(seed, SharePolicy.DELEGATED, LimitTiming.defaults(), GRANT);
        fleet.unusedRate = 0;
        fleet.maxRetryWaitMillis = waitMillis;
        fleet.transfersEnabled = transfers;
        for (RegionId region : VirtualFleet.REGIONS) {
            fleet.addVm(region);
            fleet.addVm(region);
        }
        fleet.advance(WARM_UP_MILLIS);
        List<VmId> vms = new ArrayList<>(fleet.nodes.keySet());
        Random random = new Random(seed);
        double mean = (2 * SMALL + LARGE) / 3;
        double sendProbability = load * GRANT.ratePerSecond() / mean * STEP_MILLIS / 1_000;
        for (long at = 0; at < RUN_MILLIS; at += STEP_MILLIS) {
            for (CustomerId customer : VirtualFleet.CUSTOMERS) {
                if (random.nextDouble() < sendProbability) {
                    double tokens = random.nextInt(3) == 0 ? LARGE : SMALL;
                    VmId entry = vms.get(random.nextInt(vms.size()));
                    if (!fleet.nodes.get(entry).isRunning()) {
                        entry = vms.get((vms.indexOf(entry) + 1) % vms.size());
                    }
                    fleet.request(entry, customer, tokens);
                }
            }
            fleet.advance(STEP_MILLIS);
            killOrRestart(fleet, vms, at);
        }
        return fleet;
    }

    private void killOrRestart(VirtualFleet fleet, List<VmId> vms, long at) {
        if (restartMillis == 0) {
            return;
        }
        VmId vm = vms.get((int) (at / restartMillis % vms.size()));
        long phase = at % restartMillis;
        if (phase == 0) {
            fleet.nodes.get(vm).kill();
        } else if (phase == 2_000) {
            fleet.nodes.get(vm).start();
        }
    }

    /** Fractions of wrongful refusals and of grants from the entry VM's region. */
    private record Outcome(double wrongfulFraction, double localFraction) {}
}
