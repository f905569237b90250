package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against long prompts that are placed in time by the estimate and always late. */
class DeferralFactorTest {
    private final DeferralFactor factor = new DeferralFactor();

    @Test
    void followsTheRatioOfMeasuredToExpectedTimes() {
        for (int i = 0; i < 100; i++) {
            factor.record((long) (200 * factor.factor()), 600, 10_000 + i);
        }
        assertThat(factor.factor(), closeTo(3, 0.1));
    }

    @Test
    void returnsToOneWithoutSamples() {
        for (int i = 0; i < 100; i++) {
            factor.record(100, 800, 10_000);
        }
        factor.record(100, 100, 70_000);
        assertThat(factor.factor(), lessThan(1.05));
    }

    @Test
    void staysInItsBounds() {
        Random random = new Random(2);
        for (int i = 0; i < 10_000; i++) {
            factor.record(random.nextInt(3_000), random.nextInt(30_000), i);
            assertThat(
                    factor.factor(),
                    both(greaterThanOrEqualTo(1.0))
                            .and(lessThanOrEqualTo(DeferralFactor.MAX_FACTOR * 1.0001)));
        }
        DeferralFactor fast = new DeferralFactor();
        fast.record(1_000, 1, 1);
        assertThat(fast.factor(), is(1.0));
    }
}
