package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.vanillapoint.core.fleet.UpstreamUse;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Expected times of plain requests follow what replicas take, not one constant for all. */
class ServiceTimesTest {
    private static final double MEAN_MILLIS = 86;

    private final ServiceTimes times = new ServiceTimes();

    @Test
    void serviceTimeIsLearntWithinAFewDozenResponses() {
        ServiceTimes.Replica replica = times.new Replica();
        Random random = new Random(1);
        for (int i = 0; i < 60; i++) {
            replica.record((long) (MEAN_MILLIS * (0.7 + 0.6 * random.nextDouble())), 1);
        }
        assertThat(replica.expectedMillis(), is(closeTo(MEAN_MILLIS, 0.2 * MEAN_MILLIS)));
        assertThat(
                times.new Replica().expectedMillis(), is(closeTo(MEAN_MILLIS, 0.2 * MEAN_MILLIS)));
    }

    /** Guards against a queue or a momentary slowdown that is taken for the speed of a replica. */
    @Test
    void queueAndSlowdownAreTakenOut() {
        ServiceTimes.Replica replica = times.new Replica();
        double factor = 2.5 * ServiceTimes.loadFactor(new UpstreamUse(11, 0), 6);
        for (int i = 0; i < 60; i++) {
            replica.record((long) (MEAN_MILLIS * factor), factor);
        }
        assertThat(replica.expectedMillis(), is(closeTo(MEAN_MILLIS, 0.2 * MEAN_MILLIS)));
    }

    @Test
    void slowerReplicaIsExpectedToTakeLonger() {
        ServiceTimes.Replica fast = times.new Replica();
        ServiceTimes.Replica slow = times.new Replica();
        for (int i = 0; i < 40; i++) {
            fast.record(80, 1);
            slow.record(104, 1);
        }
        double ratio = slow.expectedMillis() / fast.expectedMillis();
        assertThat(ratio, is(greaterThan(1.1)));
        assertThat(ratio, is(lessThan(1.5)));
    }
}
