package io.vanillapoint.core.idempotency;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.model.VmId;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** When a VM may conclude that a key which it does not know was never registered. */
class KeyHomesTest {
    private static final long RETRY_PERIOD_MILLIS = 60_000;
    private static final long LAG_MILLIS = 5_000;
    private static final long CERTAINTY_PERIOD_MILLIS = RETRY_PERIOD_MILLIS + 2 * LAG_MILLIS;
    private static final VmId ONE = new VmId("one");
    private static final VmId TWO = new VmId("two");
    private static final VmId THREE = new VmId("three");

    @Test
    void absenceIsProvenAfterTheRetryPeriod() {
        KeyHomes homes = new KeyHomes(ONE, RETRY_PERIOD_MILLIS, LAG_MILLIS);
        homes.updateVmList(0, List.of(ONE, TWO));
        assertThat(
                homes.canProveAbsence(CERTAINTY_PERIOD_MILLIS - 1, 0, "key", vm -> true),
                is(false));
        assertThat(homes.canProveAbsence(CERTAINTY_PERIOD_MILLIS, 0, "key", vm -> true), is(true));
    }

    @Test
    void absenceIsNotProvenWhileAnotherListMayPlaceTheKeyElsewhere() {
        String key = keyWithHomes(List.of(ONE, TWO), List.of(ONE, TWO, THREE));
        KeyHomes homes = new KeyHomes(ONE, RETRY_PERIOD_MILLIS, LAG_MILLIS);
        homes.updateVmList(0, List.of(ONE, TWO, THREE));
        homes.updateVmList(CERTAINTY_PERIOD_MILLIS, List.of(ONE, TWO));
        assertThat(
                homes.canProveAbsence(2 * CERTAINTY_PERIOD_MILLIS - 1, 0, key, vm -> true),
                is(false));
        assertThat(
                homes.canProveAbsence(2 * CERTAINTY_PERIOD_MILLIS, 0, key, vm -> true), is(true));
    }

    @Test
    void absenceIsNotProvenForKeysWithOtherHomes() {
        KeyHomes homes = new KeyHomes(ONE, RETRY_PERIOD_MILLIS, LAG_MILLIS);
        homes.updateVmList(0, List.of(TWO, THREE));
        assertThat(
                homes.canProveAbsence(2 * CERTAINTY_PERIOD_MILLIS, 0, "key", vm -> true),
                is(false));
    }

    @Test
    void issuedKeyKeepsItsHomes() {
        IssuedKey key = new IssuedKey(List.of(ONE, TWO), "random");
        assertThat(IssuedKey.parse(key.text()).orElseThrow(), is(key));
    }

    /** Finds a key whose homes under the second list are not all in the first list. */
    private static String keyWithHomes(List<VmId> first, List<VmId> second) {
        return IntStream.range(0, 1_000)
                .mapToObj(number -> "key-" + number)
                .filter(key -> !first.containsAll(KeyHomes.homes(key, second)))
                .findFirst()
                .orElseThrow();
    }
}
