package io.vanillapoint.core.attempt;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** Guards against a cancellation that comes too late for the allowed overlap of 400 ms. */
class OverlapLimitTest {
    private static final OptionalDouble DIRECT = OptionalDouble.empty();

    @Test
    void delaysOfRelaysShortenTheTimeUntilTheCancellation() {
        assertThat(OverlapLimit.cancelAfterMillis(DIRECT, DIRECT), is(150L));
        assertThat(OverlapLimit.cancelAfterMillis(OptionalDouble.of(55), DIRECT), is(70L));
        assertThat(OverlapLimit.cancelAfterMillis(DIRECT, OptionalDouble.of(3.5)), is(121L));
    }

    @Test
    void firstAttemptIsCancelledAtOnceIfNoTimeIsLeft() {
        OptionalDouble far = OptionalDouble.of(80);
        assertThat(OverlapLimit.cancelAfterMillis(far, far), is(0L));
    }
}
