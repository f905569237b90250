package io.vanillapoint.core.time;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A loop that completes no iteration is told from a process that is frozen or starved. */
class HangDetectorTest {
    private static final long LIMIT = 10_000;
    private static final long STEP = 200;

    private final HangDetector detector = new HangDetector(LIMIT, STEP);

    /** Guards against a process that stays alive although its loop hangs. */
    @Test
    void loopWithoutIterationHangsAfterTheLimit() {
        assertThat(firstHang(100, 20_000), is(LIMIT));
    }

    /** Guards against the end of a process that was stopped as a whole and continues. */
    @Test
    void frozenProcessDoesNotHang() {
        assertThat(detector.hangs(1, 0), is(false));
        assertThat(detector.hangs(1, 3_600_000), is(false));
        assertThat(detector.hangs(2, 3_600_100), is(false));
        assertThat(detector.hangs(2, 3_600_100 + LIMIT - STEP), is(false));
    }

    /** Guards against the end of a VM that gets a slice of processor time every five seconds. */
    @Test
    void starvedProcessIsObservedForLonger() {
        assertThat(firstHang(5_000, 240_000), is(-1L));
    }

    /** Guards against the end of a loop that is slow but completes iterations. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void slowLoopWithDrawnIterationsAndFreezesDoesNotHang(long seed) {
        Random random = new Random(seed);
        long now = random.nextInt(1_000_000);
        long iterations = 0;
        long lastIteration = now;
        for (int i = 0; i < 100_000; i++) {
            boolean frozen = random.nextInt(200) == 0;
            now += frozen ? random.nextInt(60_000) : 100 + random.nextInt(50);
            if (frozen || now - lastIteration > random.nextInt((int) LIMIT - 200)) {
                iterations++;
                lastIteration = now;
            }
            assertThat(detector.hangs(iterations, now), is(false));
        }
    }

    private long firstHang(long intervalMillis, long untilMillis) {
        for (long now = 0; now <= untilMillis; now += intervalMillis) {
            if (detector.hangs(7, now)) {
                return now;
            }
        }
        return -1;
    }
}
