package io.vanillapoint.entry.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Times at which a draining VM checks whether it can stop. */
class StopScheduleTest {
    private static final long CUT = 7_600;
    private final StopSchedule schedule = new StopSchedule(2_000, CUT, 200);

    /**
     * Guards against checks at fixed intervals, the last of which came up to 0.2 s after the cutoff
     * and left the process no time to end before it was killed.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 1, 90, 150, 199})
    void processWithALongRequestEndsInTheMomentOfTheCut(long firstLookDelay) {
        long elapsed = firstLookDelay;
        while (!schedule.ends(elapsed, false)) {
            elapsed += schedule.nextLookMillis(elapsed);
        }
        assertThat(elapsed, is(CUT));
    }

    @Test
    void idleProcessWaitsForCallersThatAreOnTheirWay() {
        assertThat(schedule.ends(1_999, true), is(false));
        assertThat(schedule.ends(2_000, true), is(true));
        assertThat(schedule.ends(2_000, false), is(false));
    }
}
