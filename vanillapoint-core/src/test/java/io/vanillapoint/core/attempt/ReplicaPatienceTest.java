package io.vanillapoint.core.attempt;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.core.attempt.ReplicaPatience.Reason;
import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceShare;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Abandoning replicas that are slow, silent or stalled, for streams and plain requests. */
class ReplicaPatienceTest {
    private static final int GAP_TARGET_MILLIS = 300;

    @Test
    void slowButSoundStreamIsKept() {
        ReplicaPatience monitor = new ReplicaPatience(route(RouteKind.EVENT_STREAM), false, 0);
        monitor.head(100);
        for (long now = 0; now < 60_000; now += 10) {
            if (now % 3_000 == 0) {
                monitor.bytes(true, now);
            }
            assertThat("at " + now, monitor.leave(now, now), is(Optional.empty()));
        }
    }

    @Test
    void streamThatSendsBytesAndNoEventIsLeftBeforeCallersLeave() {
        ReplicaPatience monitor = new ReplicaPatience(route(RouteKind.EVENT_STREAM), false, 0);
        monitor.head(100);
        monitor.bytes(true, 200);
        long now = 200;
        while (monitor.leave(now, now).isEmpty()) {
            now += 100;
            monitor.bytes(false, now);
        }
        assertThat(monitor.leave(now, now), is(Optional.of(Reason.STALLED)));
        assertThat(now, is(200L + 4 * GAP_TARGET_MILLIS));
    }

    @Test
    void replicaThatSendsNothingAtAllIsLeft() {
        ReplicaPatience monitor = new ReplicaPatience(route(RouteKind.EVENT_STREAM), false, 1_000);
        assertThat(monitor.leave(0, 1_399), is(Optional.empty()));
        assertThat(monitor.leave(0, 1_400), is(Optional.of(Reason.SILENT)));
    }

    @Test
    void relayedRequestIsGivenBackLater() {
        ReplicaPatience monitor = new ReplicaPatience(route(RouteKind.IDEMPOTENT), true, 0);
        assertThat(monitor.leave(0, 899), is(Optional.empty()));
        assertThat(monitor.leave(0, 900), is(Optional.of(Reason.SILENT)));
    }

    @Test
    void latePlainAnswerIsNotAwaitedIfAnotherReplicaCanTakeTheRequest() {
        ReplicaPatience monitor = new ReplicaPatience(route(RouteKind.IDEMPOTENT), false, 0);
        assertThat(monitor.leave(440, 440), is(Optional.of(Reason.SLOW)));
        monitor.head(450);
        assertThat(monitor.leave(450, 450), is(Optional.empty()));
    }

    private static RouteSpec route(RouteKind kind) {
        return new RouteSpec(
                "r",
                "h",
                "/",
                kind,
                4_000,
                800,
                GAP_TARGET_MILLIS,
                1,
                List.of(new ServiceShare("s", 1)),
                2,
                true,
                false,
                true,
                Set.of());
    }
}
