package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.published.ReplicaState;
import io.vanillapoint.core.published.UpstreamReplica;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Replicas that leave while their process still accepts requests. */
class LeavingReplicaTest {
    private static final ZoneId ZONE = new ZoneId("z");
    private static final String ID = "i-1";
    private static final String SERVICE = "s";

    private final UpstreamPool pool = new UpstreamPool(Map.of(ZONE, new RegionId("r")));

    @Test
    void drainedReplicaGetsNoRequestsAfterItsEntryIsRemoved() {
        publish(ReplicaState.READY, 1_000);
        publish(ReplicaState.DRAINING, 2_000);
        assertThat(pool.serving(SERVICE, 2_000), is(empty()));
        pool.remove(ID, true, 5_200);
        for (long now = 5_200; now < 9_000; now += 100) {
            assertThat("at " + now, pool.serving(SERVICE, now), is(empty()));
        }
    }

    @Test
    void undrainedReplicaGetsNoRequestsAfterItsEntryIsRemoved() {
        publish(ReplicaState.READY, 1_000);
        pool.remove(ID, false, 5_000);
        assertThat(pool.serving(SERVICE, 5_000), is(empty()));
    }

    @Test
    void replicaIsKeptForTwoSecondsIfItsEntryLapsedInAStoreOutage() {
        publish(ReplicaState.READY, 1_000);
        pool.remove(ID, true, 5_000);
        assertThat(pool.serving(SERVICE, 6_900), hasSize(1));
        assertThat(pool.serving(SERVICE, 7_100), is(empty()));
        publish(ReplicaState.READY, 7_200);
        assertThat(pool.serving(SERVICE, 7_200), hasSize(1));
    }

    private void publish(ReplicaState state, long now) {
        UpstreamReplica replica =
                new UpstreamReplica(
                        ID, SERVICE, new Endpoint("10.0.0.1", 80), ZONE, 8, state, 0, 1, Set.of());
        pool.publish(replica, Optional.empty(), now);
    }
}
