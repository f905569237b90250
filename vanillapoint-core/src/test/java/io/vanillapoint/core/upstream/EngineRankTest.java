package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

/** Urgencies that engines receive while load-aware placement is active. */
class EngineRankTest {
    /** Guards against equal urgencies for the long and short prompts of one customer. */
    @Test
    void shortPromptsOfACustomerComeBeforeItsLongOnes() {
        for (int priority = 0; priority < 4; priority++) {
            assertThat(
                    EngineRank.of(priority, 0).urgency(),
                    lessThan(EngineRank.of(priority, 2).urgency()));
        }
    }

    @Test
    void priorityOfTheCustomerIsTheMajorOrder() {
        for (int priority = 0; priority < 12; priority++) {
            for (int relative = 0; relative < 5; relative++) {
                int urgency = EngineRank.of(priority, relative).urgency();
                assertThat(urgency, greaterThanOrEqualTo(2));
                assertThat(urgency, lessThanOrEqualTo(9));
                assertThat(urgency, lessThanOrEqualTo(EngineRank.of(priority + 1, 0).urgency()));
            }
        }
    }

    @Test
    void mostUrgentRoutesKeepTheirUrgency() {
        for (int priority = 0; priority < 6; priority++) {
            assertThat(EngineRank.of(priority, 0).urgency(), is(EngineRank.urgency(priority)));
        }
        assertThat(EngineRank.urgency(0), is(2));
        assertThat(EngineRank.urgency(3), is(8));
        assertThat(EngineRank.urgency(4), is(9));
    }
}
