package io.vanillapoint.core.idempotency;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;

import io.vanillapoint.api.model.VmId;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * A request with an idempotency key runs at most once, whatever happens to its first attempt, its
 * retries and the VMs that store the key. {@link IdempotencySimulation} asserts this at each run.
 */
class AtMostOnceProperties {
    private static final int KEYS = 60;
    private static final int FAULTS = 40;
    private static final long ACTIVE_PERIOD_MILLIS = 300_000;

    @Property(tries = 300, seed = "20261205")
    void holdsForIssuedKeys(@ForAll int seed) {
        IdempotencySimulation fleet = run(seed, true);
        assertThat(fleet.decidedToRun, greaterThan(0));
    }

    @Property(tries = 300, seed = "20261206")
    void holdsForChosenKeys(@ForAll int seed) {
        run(seed, false);
    }

    private static IdempotencySimulation run(long seed, boolean issued) {
        IdempotencySimulation fleet =
                new IdempotencySimulation(seed, 2 + (int) Math.floorMod(seed, 4L));
        fleet.lossRate = 0.05;
        Random random = fleet.random;
        for (int i = 0; i < KEYS; i++) {
            long start = random.nextInt((int) ACTIVE_PERIOD_MILLIS);
            String chosen = "key-" + i;
            fleet.schedule(
                    start,
                    () -> {
                        if (issued) {
                            processOf(fleet, fleet.anyVm())
                                    .issue(key -> scheduleAttempts(fleet, key));
                        } else {
                            scheduleAttempts(fleet, chosen);
                        }
                    });
        }
        for (int i = 0; i < FAULTS; i++) {
            fleet.schedule(random.nextInt((int) ACTIVE_PERIOD_MILLIS), () -> injectFault(fleet));
        }
        fleet.advance(ACTIVE_PERIOD_MILLIS + 2 * IdempotencySimulation.RETRY_PERIOD_MILLIS);
        return fleet;
    }

    /** A first attempt, declared as such or not, and up to four retries within the retry period. */
    private static void scheduleAttempts(IdempotencySimulation fleet, String key) {
        processOf(fleet, fleet.anyVm()).attempt(key, fleet.random.nextBoolean());
        int retries = fleet.random.nextInt(5);
        for (int i = 0; i < retries; i++) {
            long delay =
                    fleet.random.nextBoolean()
                            ? fleet.random.nextInt(2_000)
                            : fleet.random.nextInt((int) IdempotencySimulation.RETRY_PERIOD_MILLIS);
            fleet.schedule(delay, () -> processOf(fleet, fleet.anyVm()).attempt(key, false));
        }
    }

    private static void injectFault(IdempotencySimulation fleet) {
        VmId vm = fleet.anyVm();
        switch (fleet.random.nextInt(5)) {
            case 0 -> fleet.startProcess(vm);
            case 1 -> {
                fleet.addVm();
                fleet.removeVm(vm);
            }
            case 2 -> fleet.partitioned.add(vm);
            case 3 -> fleet.partitioned.clear();
            default -> {
                if (fleet.processes.size() > 2) {
                    fleet.removeVm(vm);
                } else {
                    fleet.addVm();
                }
            }
        }
    }

    private static IdempotencySimulation.Process processOf(IdempotencySimulation fleet, VmId vm) {
        return fleet.processes.get(vm);
    }
}
