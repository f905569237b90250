package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Limits that replicas announce, and that VMs report to each other. */
class RejectionLimitsTest {
    private static final long NOW = 1_000_000;

    private final RejectionLimits limits = new RejectionLimits();

    @Test
    void limitThatAnotherVmReportsIsInForce() {
        limits.merge(Map.of("s", 3), NOW);
        assertThat(limits.limit("s", NOW), is(OptionalInt.of(3)));
        assertThat(limits.limit("other", NOW), is(OptionalInt.empty()));
    }

    /** Otherwise VMs would report a limit to each other without end. */
    @Test
    void limitThatAnotherVmReportsIsNotReportedAgain() {
        limits.merge(Map.of("s", 3), NOW);
        assertThat(limits.received(NOW), is(Map.of()));
        limits.announced("s", 4, NOW);
        limits.merge(Map.of("s", 3), NOW + 900);
        limits.merge(Map.of("s", 3), NOW + 1_800);
        assertThat(limits.received(NOW + 1_800), is(Map.of()));
    }

    @Test
    void limitEndsSecondsAfterItsLastReport() {
        limits.announced("s", 3, NOW);
        limits.merge(Map.of("s", 3), NOW + 1_000);
        assertThat(limits.limit("s", NOW + 6_000), is(OptionalInt.of(3)));
        assertThat(limits.limit("s", NOW + 6_001), is(OptionalInt.empty()));
    }
}
