package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.Rosters;
import io.vanillapoint.core.fleet.VmRoster;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.published.UpstreamReplica;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Replicas that reject requests and request a backoff. */
class QuietReplicaTest {
    private static final VmRoster ROSTER = Rosters.withMembers("vm", List.of("vm"), 0);
    private static final ServiceSpec SERVICE = new ServiceSpec("s", 10, 0, 0, Optional.empty());

    private final UpstreamPool pool = new UpstreamPool(Map.of(Replicas.ZONE, new RegionId("r")));

    @Test
    void nothingIsSentUntilTheBackoffAndItsJitterEnd() {
        ReplicaTracker tracker = publish(1, 0);
        tracker.backoffRequested(3_000, 200, 1_000);
        assertThat(pool.maySend(tracker, SERVICE, 900, 1_001), is(false));
        assertThat(maySelect(tracker, 3_999), is(false));
        assertThat("jitter of this VM is still running", maySelect(tracker, 4_100), is(false));
        assertThat(maySelect(tracker, 4_200), is(true));
    }

    @Test
    void singleRequestProbesTheReplicaAfterTheBackoff() {
        ReplicaTracker tracker = publish(1, 0);
        tracker.backoffRequested(1_000, 0, 0);
        tracker.dispatched(0, null, 1_000);
        assertThat("blocked while the probe is pending", maySelect(tracker, 1_050), is(false));
        tracker.recordAccepted(1_080);
        assertThat(maySelect(tracker, 1_080), is(true));
    }

    @Test
    void responseToAnOlderRequestDoesNotEndTheBackoff() {
        ReplicaTracker tracker = publish(1, 0);
        tracker.backoffRequested(1_000, 0, 0);
        tracker.recordReceived(500, 500);
        tracker.recordAccepted(500);
        assertThat(maySelect(tracker, 600), is(false));
    }

    @Test
    void shorterBackoffDoesNotEndALongerOne() {
        ReplicaTracker tracker = publish(1, 0);
        tracker.backoffRequested(5_000, 0, 0);
        tracker.backoffRequested(100, 0, 50);
        assertThat(maySelect(tracker, 4_000), is(false));
    }

    @Test
    void backoffIsCappedAtTheMaximum() {
        ReplicaTracker tracker = publish(1, 0);
        assertThat(tracker.backoffRequested(Long.MAX_VALUE, 0, 0), is(ReplicaBackoff.MAX_MILLIS));
        assertThat(maySelect(tracker, ReplicaBackoff.MAX_MILLIS), is(true));
    }

    @Test
    void restartClearsTheBackoffAndLeavingStateOfAReplica() {
        ReplicaTracker tracker = publish(1, 0);
        tracker.backoffRequested(5_000, 0, 0);
        tracker.recordLeaving();
        publish(1, 100);
        assertThat("same start of the replica", pool.serves(tracker, 100), is(false));
        publish(2, 200);
        assertThat(pool.serves(tracker, 200), is(true));
        assertThat(maySelect(tracker, 200), is(true));
    }

    @Test
    void leavingStateIsKeptWhenALapsedEntryReturns() {
        ReplicaTracker tracker = publish(1, 0);
        tracker.recordLeaving();
        pool.remove("i-1", true, 1_000);
        pool.prune(9_000);
        assertThat(pool.serves(publish(1, 9_100), 9_100), is(false));
    }

    /**
     * A replica counts it as a fault if a VM sends two requests during a backoff, from half a
     * second after the replica requested it.
     */
    @Test
    void vmSendsAFullReplicaOneRequestPerBackoff() {
        ReplicaTracker tracker = publish(1, 0);
        int duringBackoff = 0;
        long backoffFrom = Long.MAX_VALUE;
        int sent = 0;
        for (long now = 0; now < 20_000; now += 10) {
            if (!maySelect(tracker, now)) {
                continue;
            }
            sent++;
            duringBackoff += now > backoffFrom && now < backoffFrom + 2_500 ? 1 : 0;
            tracker.dispatched(0, null, now);
            tracker.backoffRequested(3_000, 0, now + 5);
            backoffFrom = now + 500;
        }
        assertThat(duringBackoff, is(0));
        assertThat(sent, greaterThanOrEqualTo(6));
        assertThat(sent, lessThanOrEqualTo(7));
    }

    private boolean maySelect(ReplicaTracker tracker, long now) {
        return pool.maySelect(tracker, SERVICE, ROSTER, now);
    }

    private ReplicaTracker publish(long startedAt, long now) {
        UpstreamReplica replica = Replicas.ready("i-1", startedAt, 0);
        return pool.publish(replica, Optional.of(SERVICE), now).orElseThrow();
    }
}
