package io.vanillapoint.entry.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.vanillapoint.api.event.EventCode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Line format and rate limits of the decision log. */
class DecisionLogTest {
    private final List<String> batches = new ArrayList<>();
    private long now = 5_000;
    private boolean room = true;
    private final DecisionLog log =
            new DecisionLog(
                    "vm-1",
                    () -> now,
                    batch -> {
                        if (room) {
                            batches.add(batch);
                        }
                        return room;
                    });

    @Test
    void lineContainsEachFieldOfTheEvent() {
        log.record(EventCode.REFUSED, "r1", 503, "too_late", 400L, 12L);
        log.flush();
        assertThat(
                batches.get(0),
                is(
                        "{\"at\":5000,\"vm\":\"vm-1\",\"event\":2307,\"name\":\"refused\","
                                + "\"request\":\"r1\",\"status\":503,\"reason\":\"too_late\","
                                + "\"retry_after_ms\":400,\"elapsed_ms\":12}\n"));
    }

    @Test
    void linesPerEventAreLimitedAndDroppedOnesAreCounted() {
        for (int i = 0; i < 10_000; i++) {
            log.record(EventCode.REFUSED, "r" + i, 503, "too_late", 400L, 12L);
        }
        now += 1_000;
        log.record(EventCode.REFUSED, "r", 503, "too_late", 400L, 12L);
        log.flush();
        assertThat(batches.get(0).lines().count(), lessThan(1_000L));
        assertThat(batches.get(0), containsString("\"event\":2307,\"lines\":9700"));
    }

    @Test
    void eventThatCannotBeWrittenIsLeftOutAndCounted() {
        Object unprintable =
                new Object() {
                    @Override
                    public String toString() {
                        throw new StackOverflowError();
                    }
                };
        log.record(EventCode.REFUSED, "r1", 503, "too_late", 400L, 12L);
        log.record(EventCode.REFUSED, "r2", 503, unprintable, 400L, 12L);
        now += 1_000;
        log.record(EventCode.REFUSED, "r3", 503, "too_late", 400L, 12L);
        log.flush();
        assertThat(batches.get(0).lines().count(), is(3L));
        assertThat(batches.get(0), containsString("\"event\":2307,\"lines\":1}"));
        assertThat(batches.get(0), containsString("\"request\":\"r3\""));
    }

    @Test
    void rejectedBatchesAreCountedWithoutBlocking() {
        room = false;
        log.record(EventCode.REFUSED, "r1", 503, "too_late", 400L, 12L);
        log.flush();
        room = true;
        now += 1_000;
        log.record(EventCode.REFUSED, "r2", 503, "too_late", 400L, 12L);
        log.flush();
        assertThat(batches.get(0), containsString("\"name\":\"lines left out\""));
    }
}
