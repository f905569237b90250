package io.vanillapoint.core.attempt;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.core.attempt.AttemptMonitor.Reason;
import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceShare;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Abandoning replicas that are slow, silent or stalled, for streams and plain requests. */
class AttemptMonitorTest {
    private static final int GAP_TARGET_MILLIS = 300;

    @Test
    void slowStreamThatDeliversEventsIsKept() {
        AttemptMonitor monitor = new AttemptMonitor(route(RouteKind.EVENT_STREAM), false, 0);
        monitor.headReceived(100);
        for (long now = 0; now < 60_000; now += 10) {
            if (now % 3_000 == 0) {
                monitor.bytesReceived(true, now);
            }
            assertThat("at " + now, monitor.checkProgress(now, now), is(Optional.empty()));
        }
    }

    @Test
    void streamThatCompletesNoEventIsAbandonedAsStalled() {
        AttemptMonitor monitor = new AttemptMonitor(route(RouteKind.EVENT_STREAM), false, 0);
        monitor.headReceived(100);
        monitor.bytesReceived(true, 200);
        long now = 200;
        while (monitor.checkProgress(now, now).isEmpty()) {
            now += 100;
            monitor.bytesReceived(false, now);
        }
        assertThat(monitor.checkProgress(now, now), is(Optional.of(Reason.STALLED)));
        assertThat(now, is(200L + 4 * GAP_TARGET_MILLIS));
    }

    @Test
    void silentReplicaIsAbandoned() {
        AttemptMonitor monitor = new AttemptMonitor(route(RouteKind.EVENT_STREAM), false, 1_000);
        assertThat(monitor.checkProgress(0, 1_399), is(Optional.empty()));
        assertThat(monitor.checkProgress(0, 1_400), is(Optional.of(Reason.SILENT)));
    }

    @Test
    void silentReplicaOfARelayedRequestIsAbandonedLater() {
        AttemptMonitor monitor = new AttemptMonitor(route(RouteKind.IDEMPOTENT), true, 0);
        assertThat(monitor.checkProgress(0, 899), is(Optional.empty()));
        assertThat(monitor.checkProgress(0, 900), is(Optional.of(Reason.SILENT)));
    }

    @Test
    void slowPlainRequestIsAbandonedUnlessItsHeadHasArrived() {
        AttemptMonitor monitor = new AttemptMonitor(route(RouteKind.IDEMPOTENT), false, 0);
        assertThat(monitor.checkProgress(440, 440), is(Optional.of(Reason.SLOW)));
        monitor.headReceived(450);
        assertThat(monitor.checkProgress(450, 450), is(Optional.empty()));
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
