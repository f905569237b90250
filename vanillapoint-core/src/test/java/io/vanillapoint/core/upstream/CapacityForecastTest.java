package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Times that refused callers are told to return at. Guards against callers that return together
 * into the queue that refused them, and are refused again.
 */
class CapacityForecastTest {
    private static final String KIND = "service/route";
    private static final CapacityEstimate FULL = new CapacityEstimate(0, 10);

    private final CapacityForecast forecast = new CapacityForecast();

    @Test
    void refusedCallersReturnOneAfterTheOther() {
        assertThat(forecast.reserve(KIND, new CapacityEstimate(50, 10), 6_000, 1_000), is(60L));
        assertThat(forecast.reserve(KIND, new CapacityEstimate(50, 10), 6_000, 1_000), is(70L));
        assertThat(forecast.reservedMillis(KIND, 60, 1_000), is(10.0));
        assertThat(forecast.reservedMillis(KIND, 100, 1_000), is(20.0));
        assertThat(forecast.reserve("service/other", FULL, 6_000, 1_000), is(10L));
    }

    @Test
    void longestUsefulTimeIsToldWithoutAReservationIfNoneIsFreeBefore() {
        assertThat(forecast.reserve(KIND, new CapacityEstimate(3_000, 10), 6_000, 0), is(2_000L));
        assertThat(forecast.reservedMillis(KIND, 10_000, 0), is(0.0));
        assertThat(forecast.reserve(KIND, FULL, 0, 0), is(0L));
    }

    @Test
    void reservationIsTakenOnceByARequestThatHasLostTheTime() {
        forecast.reserve(KIND, new CapacityEstimate(490, 10), 6_000, 0);
        assertThat("new", forecast.redeem(KIND, 0, 500), is(false));
        assertThat("too early", forecast.redeem(KIND, 600, 100), is(false));
        assertThat("returned", forecast.redeem(KIND, 505, 505), is(true));
        assertThat("again", forecast.redeem(KIND, 505, 505), is(false));
    }

    @Test
    void reservationLapsesIfNobodyReturns() {
        forecast.reserve(KIND, new CapacityEstimate(490, 10), 6_000, 0);
        assertThat(forecast.reservedMillis(KIND, 0, 800), is(10.0));
        assertThat(forecast.reservedMillis(KIND, 0, 801), is(0.0));
    }

    /** The excess of these bursts fits into a third of the callers' time behind them. */
    @ParameterizedTest
    @CsvSource({"1000,6000", "1200,6000", "1000,15000", "2000,15000"})
    void returnTimesHalveTheSecondRefusalsOfABurst(long burstMillis, long deadlineMillis) {
        for (long seed = 1; seed <= 10; seed++) {
            Replay plain = new Replay(false, burstMillis, deadlineMillis, seed);
            plain.run();
            Replay forecasting = new Replay(true, burstMillis, deadlineMillis, seed);
            forecasting.run();
            String text =
                    "seed %d: second refusals %d with a constant, %d with the forecast; served %d, %d"
                            .formatted(
                                    seed,
                                    plain.refusedAgain,
                                    forecasting.refusedAgain,
                                    plain.served,
                                    forecasting.served);
            assertThat(text, plain.refusedAgain, is(greaterThan(0)));
            assertThat(
                    text, forecasting.refusedAgain, is(lessThanOrEqualTo(plain.refusedAgain / 2)));
            assertThat(text, plain.served, is(lessThanOrEqualTo(forecasting.served)));
            assertThat(text, forecasting.aboveBound, is(0));
        }
    }

    /** Replicas that take requests in turn, and callers that return once. In virtual time. */
    private static final class Replay {
        private static final long CONSTANT_MILLIS = 400;
        private static final double OCCUPANCY_MILLIS = 5;
        private static final double BURST = 2.8;
        private static final double OTHERWISE = 0.17;
        private static final long ALL_MILLIS = 12_000;
        private static final long BURST_AT_MILLIS = 1_000;

        /** Longest queue in which a request is still answered in time. */
        private static final double LONGEST_QUEUE_MILLIS = 500;

        private final boolean forecasting;
        private final long burstMillis;
        private final long deadlineMillis;
        private final Random random;
        private final CapacityForecast forecast = new CapacityForecast();
        private final PriorityQueue<Arrival> arrivals = new PriorityQueue<>();
        private double idleAt;
        private int served;
        private int refusedAgain;
        private int aboveBound;

        Replay(boolean forecasting, long burstMillis, long deadlineMillis, long seed) {
            this.forecasting = forecasting;
            this.burstMillis = burstMillis;
            this.deadlineMillis = deadlineMillis;
            random = new Random(seed);
        }

        void run() {
            for (double at = 0; at < ALL_MILLIS; ) {
                boolean burst = at >= BURST_AT_MILLIS && at < BURST_AT_MILLIS + burstMillis;
                double perMilli = (burst ? BURST : OTHERWISE) / OCCUPANCY_MILLIS;
                at += -Math.log(1 - random.nextDouble()) / perMilli;
                arrivals.add(new Arrival(at, 0));
            }
            while (!arrivals.isEmpty()) {
                arrive(arrivals.poll());
            }
        }

        private void arrive(Arrival arrival) {
            long now = (long) arrival.atMillis;
            double queueMillis = Math.max(0, idleAt - now);
            double aheadMillis = queueMillis;
            if (forecasting && !forecast.redeem(KIND, arrival.waitedMillis, now)) {
                aheadMillis += forecast.reservedMillis(KIND, (long) LONGEST_QUEUE_MILLIS, now);
            }
            if (aheadMillis + OCCUPANCY_MILLIS <= LONGEST_QUEUE_MILLIS) {
                idleAt = Math.max(idleAt, now) + OCCUPANCY_MILLIS;
                served++;
                return;
            }
            long remaining = deadlineMillis - arrival.waitedMillis;
            long wait = CONSTANT_MILLIS;
            if (forecasting) {
                double room = Math.max(0, queueMillis + OCCUPANCY_MILLIS - LONGEST_QUEUE_MILLIS);
                CapacityEstimate estimate = new CapacityEstimate(room, OCCUPANCY_MILLIS);
                wait = forecast.reserve(KIND, estimate, remaining, now);
                aboveBound += wait > remaining / 3 ? 1 : 0;
            }
            if (arrival.waitedMillis > 0) {
                refusedAgain++;
                return;
            }
            // The request and its refusal need a few milliseconds on the way.
            long way = 1 + random.nextInt(60);
            arrivals.add(new Arrival(now + wait + way, wait + way));
        }
    }

    /**
     * A request that arrives.
     *
     * @param atMillis virtual time
     * @param waitedMillis time since its caller sent it first, 0 for the first attempt
     */
    private record Arrival(double atMillis, long waitedMillis) implements Comparable<Arrival> {
        @Override
        public int compareTo(Arrival other) {
            return Double.compare(atMillis, other.atMillis);
        }
    }
}
