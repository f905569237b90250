package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.vanillapoint.core.fleet.UpstreamUse;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The estimate of an engine's queue follows the order in which the engine serves requests. */
class EngineQueueTest {
    private static final EngineRank SHORT = EngineRank.of(1, 0);
    private static final EngineRank LONG = EngineRank.of(1, 2);
    private static final EngineRank LONG_OF_URGENT_CUSTOMER = EngineRank.of(0, 2);
    private static final int SLOTS = 16;

    private final EngineQueue queue = new EngineQueue();

    /** Guards against refusing short prompts for long ones that the engine serves after them. */
    @Test
    void shortPromptWaitsForNoMoreThanAChunkOfLongOnes() {
        UpstreamUse use = new UpstreamUse(10, 90_000, 10, 90_000);

        assertThat(queue.tokensToFirstEvent(use, SHORT, 600), is(2_048L + 600));
        assertThat(queue.tokensToFirstEvent(use, LONG, 600), is(90_600L));
    }

    /** Guards against an estimate that ignores more urgent customers. */
    @Test
    void shortPromptWaitsForLongOnesOfMoreUrgentCustomers() {
        for (int i = 0; i < 500; i++) {
            queue.sent(i % 2 == 0 ? LONG_OF_URGENT_CUSTOMER : LONG, 10_000);
        }
        UpstreamUse use = new UpstreamUse(10, 90_000, 10, 90_000);

        double tokens = queue.tokensToFirstEvent(use, SHORT, 0);

        assertThat(tokens, closeTo(45_000 + 2_048, 500));
    }

    @Test
    void whatWasSentLongAgoDoesNotCount() {
        for (int i = 0; i < 500; i++) {
            queue.sent(LONG_OF_URGENT_CUSTOMER, 10_000);
        }
        queue.sent(LONG, 200_000);
        UpstreamUse use = new UpstreamUse(10, 90_000, 10, 90_000);

        assertThat(queue.tokensToFirstEvent(use, SHORT, 0), is(2_048L));
    }

    @Test
    void longPromptWaitsForAllUrgentWork() {
        UpstreamUse use = new UpstreamUse(4, 8_000, 1, 3_000);

        assertThat(queue.tokensToFirstEvent(use, LONG, 1_000), is(9_000L));
    }

    @Test
    void shortPromptTakesThePlaceOfALongOneInAFullBatch() {
        UpstreamUse someLong = new UpstreamUse(SLOTS, 0, 4, 0);
        UpstreamUse noLong = new UpstreamUse(SLOTS, 0);

        assertThat(queue.slotWaitMillis(someLong, SHORT, SLOTS), is(0.0));
        assertThat(queue.preemptionLoss(someLong, SHORT, SLOTS), greaterThan(0.0));
        assertThat(queue.slotWaitMillis(noLong, SHORT, SLOTS), greaterThan(0.0));
        assertThat(queue.slotWaitMillis(someLong, LONG, SLOTS), greaterThan(0.0));
    }

    /** Guards against preempting a request while another engine has a free place. */
    @Test
    void freePlaceCostsNoPreemption() {
        UpstreamUse use = new UpstreamUse(SLOTS - 1, 0, SLOTS - 1, 0);

        assertThat(queue.preemptionLoss(use, SHORT, SLOTS), is(0.0));
    }

    /** Late heartbeats can tell of more deferrable work than of work. */
    @Test
    void estimateStaysBetweenOwnWorkAndAllWork() {
        Random random = new Random(3);
        for (int i = 0; i < 10_000; i++) {
            EngineRank rank = EngineRank.of(random.nextInt(5), random.nextInt(4));
            queue.sent(EngineRank.of(random.nextInt(5), random.nextInt(4)), i);
            long tokens = random.nextInt(100_000);
            UpstreamUse use =
                    new UpstreamUse(
                            random.nextInt(40),
                            tokens,
                            random.nextInt(50),
                            random.nextInt(150_000));
            long own = random.nextInt(10_000);
            assertThat(
                    queue.tokensToFirstEvent(use, rank, own),
                    both(greaterThan(own - 1)).and(lessThan(tokens + own + 1)));
        }
    }
}
