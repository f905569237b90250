package io.vanillapoint.entry.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a draining VM admits, and times at which it checks whether it can stop. */
class StopScheduleTest {
    private static final long CUTOFF_MILLIS = 7_600;
    private final StopSchedule schedule = new StopSchedule(2_000, 2_800, CUTOFF_MILLIS, 200);

    /**
     * Guards against checks at fixed intervals, the last of which came up to 0.2 s after the cutoff
     * and left the process no time to end before it was killed.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 1, 90, 150, 199})
    void processWithALongRequestStopsAtTheCutoff(long firstCheckDelay) {
        long elapsed = firstCheckDelay;
        while (!schedule.shouldStop(elapsed, false)) {
            elapsed += schedule.nextCheckDelayMillis(elapsed);
        }
        assertThat(elapsed, is(CUTOFF_MILLIS));
    }

    @Test
    void idleProcessStopsOnlyAfterTheMinimumDrainTime() {
        assertThat(schedule.shouldStop(1_999, true), is(false));
        assertThat(schedule.shouldStop(2_000, true), is(true));
        assertThat(schedule.shouldStop(2_000, false), is(false));
    }

    /** Guards against refusals of requests that a draining VM can answer. */
    @Test
    void lateRequestThatEndsBeforeTheCutoffIsAdmitted() {
        assertThat(schedule.admits(2_799, 15_000), is(true));
        assertThat(schedule.admits(2_800, 4_800), is(true));
        assertThat(schedule.admits(2_800, 4_801), is(false));
        assertThat(schedule.admits(5_600, 2_000), is(true));
        assertThat(schedule.admits(CUTOFF_MILLIS, 15), is(false));
    }
}
