package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.core.fleet.UpstreamSignals.Slowdown;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Guards against slowdowns that are believed for too long, or replaced by older reports. */
class ReplicaLoadTest {
    private static final long NOW = 10_000;

    private final ReplicaLoad load = new ReplicaLoad();

    @Test
    void threeFiguresChangeNothing() {
        load.reported(new LoadReport(3, 0, 8, OptionalInt.empty()), NOW);

        assertThat(load.factor(NOW), is(1.0));
        assertThat(load.slowdown(NOW), is(Optional.empty()));
    }

    @Test
    void reportLosesItsWeightWithinASecond() {
        load.reported(report(250), NOW);

        assertThat(load.factor(NOW), is(2.5));
        assertThat(load.factor(NOW + 300), is(closeTo(1.57, 0.02)));
        assertThat(load.factor(NOW + 1_500), is(closeTo(1.03, 0.02)));
    }

    @Test
    void usualSlownessOfAReplicaIsLearnt() {
        for (int i = 0; i < 300; i++) {
            load.reported(report(130), NOW + i);
        }

        assertThat(load.factor(NOW + 10_000), is(closeTo(1.3, 0.01)));
    }

    @Test
    void mostRecentReportOfAnyVmCounts() {
        load.reported(report(100), NOW);
        load.merge(new Slowdown(250, 50), NOW + 100);
        assertThat(load.factor(NOW + 50), is(closeTo(2.5, 0.001)));

        load.merge(new Slowdown(400, 90), NOW + 100);
        assertThat("late report", load.factor(NOW + 50), is(closeTo(2.5, 0.001)));
    }

    @Test
    void onlyOwnRecentReportsAreToldToOthers() {
        load.merge(new Slowdown(250, 0), NOW);
        assertThat(load.slowdown(NOW), is(Optional.empty()));

        load.reported(report(120), NOW);
        assertThat(load.slowdown(NOW + 200), is(Optional.of(new Slowdown(120, 200))));
        assertThat(load.slowdown(NOW + 1_001), is(Optional.empty()));
    }

    private static LoadReport report(int slowdownPercent) {
        return new LoadReport(3, 0, 8, OptionalInt.of(slowdownPercent));
    }
}
