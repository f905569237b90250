package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.OptionalInt;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Long and short prompts at the same engines, in virtual time, by the plain rule and load-aware.
 * Guards against short prompts that are refused or late behind long ones although they fit, and
 * against long prompts that starve.
 */
class LongPromptReplayTest {
    private static final int ENGINES = 12;

    /** Requests per second and engine in the mean of A's day. */
    private static final double SHORT_RATE = ENGINES * 1.9;

    private static final double LONG_RATE = ENGINES * 1.68;

    /** Most long prompts find none of their shared parts cached. */
    private static final int MANY_SESSIONS = 1_500;

    private static final double SHORT_IN_TIME = 0.95;
    private static final double STARVATION_MILLIS = 2_000;

    @Test
    void steadyMixAtFourTimesTheMean() {
        Consumer<PromptReplay> load = replay -> offer(replay, 4, 4, 15_000);
        PromptReplay plain = replay(1, load, 35_000, false);
        PromptReplay aware = replay(1, load, 35_000, true);

        assertThat(report(plain), plain.shortTotals.inTimeShare(), lessThan(0.5));
        assertServed(aware);
        assertNotWorse(aware, plain);
    }

    @Test
    void burstOfLongPrompts() {
        Consumer<PromptReplay> load =
                replay -> {
                    offer(replay, 2, 1.5, 15_000);
                    replay.offer(PromptReplay.LONG, 10 * LONG_RATE, 5_000, 8_000);
                };
        PromptReplay plain = replay(2, load, 35_000, false);
        PromptReplay aware = replay(2, load, 35_000, true);

        assertServed(aware);
        assertNotWorse(aware, plain);
    }

    @Test
    void burstOfShortPrompts() {
        Consumer<PromptReplay> load =
                replay -> {
                    offer(replay, 2, 2.5, 15_000);
                    replay.offer(PromptReplay.SHORT, 6 * SHORT_RATE, 5_000, 8_000);
                };
        PromptReplay plain = replay(3, load, 35_000, false);
        PromptReplay aware = replay(3, load, 35_000, true);

        assertServed(aware);
        assertNotWorse(aware, plain);
    }

    /** With its own priority, a customer's long prompts get the urgency of its short ones today. */
    @Test
    void oneCustomerWithManyLongPrompts() {
        Consumer<PromptReplay> load =
                replay -> {
                    replay.customerPriority(OptionalInt.of(0));
                    offer(replay, 1, 6, 15_000);
                };
        PromptReplay plain = replay(4, load, 35_000, false);
        PromptReplay aware = replay(4, load, 35_000, true);

        assertServed(aware);
        assertNotWorse(aware, plain);
    }

    /** The limit must not send more to a cold engine than its rate. */
    @Test
    void engineThatTurnsColdKeepsItsRate() {
        Consumer<PromptReplay> load =
                replay -> {
                    offer(replay, 3, 3, 15_000);
                    replay.time.schedule(5_000, () -> replay.turnCold("e3"));
                };
        PromptReplay aware = replay(5, load, 35_000, true);

        int sent = aware.sentToCold.getOrDefault("e3", 0);
        assertThat("requests to the cold engine", sent, lessThanOrEqualTo((int) (3 * 2.9) + 3));
        assertServed(aware);
    }

    /** What remains has to carry the short work of 3 / 4 of the mean: three times per engine. */
    @Test
    void lossOfThreeQuartersOfTheEngines() {
        Consumer<PromptReplay> load =
                replay -> {
                    offer(replay, 1, 1, 15_000);
                    replay.time.schedule(5_000, () -> replay.lose(9));
                };
        PromptReplay plain = replay(6, load, 35_000, false);
        PromptReplay aware = replay(6, load, 35_000, true);

        assertServed(aware);
        assertNotWorse(aware, plain);
    }

    @Test
    void heartbeatsThatArriveLate() {
        Consumer<PromptReplay> load =
                replay -> {
                    replay.delayHeartbeats(1_200);
                    offer(replay, 3.5, 3.5, 15_000);
                };
        PromptReplay plain = replay(7, load, 35_000, false);
        PromptReplay aware = replay(7, load, 35_000, true);

        assertServed(aware);
        assertNotWorse(aware, plain);
    }

    /** Far too much of everything: neither kind may starve. */
    @Test
    void overloadByBothKinds() {
        Consumer<PromptReplay> load = replay -> offer(replay, 8, 8, 10_000);
        PromptReplay plain = replay(8, load, 30_000, false);
        PromptReplay aware = replay(8, load, 30_000, true);

        assertServed(aware);
        assertNotWorse(aware, plain);
    }

    private static void offer(
            PromptReplay replay, double shortLoad, double longLoad, double millis) {
        replay.offer(PromptReplay.SHORT, shortLoad * SHORT_RATE, 0, millis);
        replay.offer(PromptReplay.LONG, longLoad * LONG_RATE, 0, millis);
    }

    private static PromptReplay replay(
            int seed, Consumer<PromptReplay> load, double millis, boolean loadAware) {
        PromptReplay replay = new PromptReplay(seed, ENGINES, MANY_SESSIONS, loadAware);
        load.accept(replay);
        replay.run(millis);
        return replay;
    }

    private static void assertServed(PromptReplay replay) {
        String report = report(replay);
        assertThat(report, replay.shortTotals.inTimeShare(), greaterThanOrEqualTo(SHORT_IN_TIME));
        assertThat(report, replay.longTotals.inTime, greaterThan(0));
        assertThat(report, replay.longTotals.longestGapMillis, lessThan(STARVATION_MILLIS));
    }

    /** Compares the value of all responses, by the values in docs/design/hard-load.md. */
    private static void assertNotWorse(PromptReplay aware, PromptReplay plain) {
        String report = "plain: " + report(plain) + "; load-aware: " + report(aware);
        assertThat(report, value(aware), greaterThanOrEqualTo(value(plain)));
    }

    private static double value(PromptReplay replay) {
        return 3.8 * replay.shortTotals.inTime
                + 0.45 * replay.shortTotals.late
                + 1.1 * replay.longTotals.inTime
                + 0.5 * replay.longTotals.late;
    }

    private static String report(PromptReplay replay) {
        return "short: " + replay.shortTotals + "; long: " + replay.longTotals;
    }
}
