package io.vanillapoint.server.event;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import io.vanillapoint.api.event.HybridTimestamp;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Timestamps preserve causal order across processes whose wall clocks differ. */
class HybridClockTest {
    private final AtomicLong early = new AtomicLong(1_000);
    private final AtomicLong late = new AtomicLong(31_000);
    private final HybridClock behind = new HybridClock(early::get);
    private final HybridClock ahead = new HybridClock(late::get);

    @Test
    void responseTimestampIsLaterThanRequestTimestamp() {
        HybridTimestamp question = ahead.next();
        behind.observePacked(ahead.nextPacked());
        assertThat(behind.next(), greaterThan(question));
    }

    @Test
    void timestampsIncreaseWhenTheWallClockStepsBack() {
        HybridTimestamp before = behind.next();
        early.set(0);
        assertThat(behind.next(), greaterThan(before));
    }

    @Test
    void timestampFarInTheFutureIsNotAdopted() {
        behind.observePacked(Long.MAX_VALUE);
        assertThat(behind.next(), lessThan(new HybridTimestamp(100_000, 0)));
    }
}
