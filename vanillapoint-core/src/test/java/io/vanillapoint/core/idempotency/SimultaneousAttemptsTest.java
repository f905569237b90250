package io.vanillapoint.core.idempotency;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.model.VmId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Of several attempts that are registered at the same moment, one runs and the rest are refused.
 */
class SimultaneousAttemptsTest {
    private static final int SEEDS = 40;
    private static final int KEYS = 20;
    private static final int VMS = 4;
    private static final long GAP_MILLIS = 5_000;

    @ParameterizedTest
    @ValueSource(ints = {2, 3, 4})
    void oneAttemptWithAnIssuedKeyRuns(int attempts) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            IdempotencySimulation fleet = fleet(seed);
            for (int i = 0; i < KEYS; i++) {
                issue(fleet, key -> attemptAtOnce(fleet, key, attempts));
                fleet.advance(GAP_MILLIS);
            }
            assertOneRan(fleet, seed, attempts);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3, 4})
    void oneAttemptWithAChosenKeyRuns(int attempts) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            IdempotencySimulation fleet = fleet(seed);
            fleet.advance(3 * IdempotencySimulation.RETRY_PERIOD_MILLIS);
            for (int i = 0; i < KEYS; i++) {
                attemptAtOnce(fleet, "key-" + i, attempts);
                fleet.advance(GAP_MILLIS);
            }
            assertOneRan(fleet, seed, attempts);
        }
    }

    private static IdempotencySimulation fleet(int seed) {
        IdempotencySimulation fleet = new IdempotencySimulation(seed, VMS);
        fleet.someMessagesAreLate = false;
        fleet.advance(GAP_MILLIS);
        return fleet;
    }

    private static void issue(IdempotencySimulation fleet, Consumer<String> caller) {
        fleet.processes.get(fleet.anyVm()).issue(caller);
    }

    private static void attemptAtOnce(IdempotencySimulation fleet, String key, int attempts) {
        List<VmId> vms = new ArrayList<>(fleet.processes.keySet());
        Collections.shuffle(vms, fleet.random);
        vms.subList(0, attempts).forEach(vm -> fleet.processes.get(vm).attempt(key, false));
    }

    private static void assertOneRan(IdempotencySimulation fleet, int seed, int attempts) {
        assertThat("seed " + seed, fleet.decidedToRun, is(KEYS));
        assertThat("seed " + seed, fleet.refused, is(KEYS * (attempts - 1)));
    }
}
