package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.Rosters;
import io.vanillapoint.core.fleet.VmRoster;
import io.vanillapoint.core.published.ServiceSpec;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Probes of replicas that fail, as seen by one VM that owns no part of a cold replica's rate. */
class ReplicaProbeTest {
    private static final long START = 1_700_000_000_000L;
    private static final long NO_START = 0;
    private static final ServiceSpec SERVICE = new ServiceSpec("s", 10, 3_000, 2, Optional.empty());

    private static final ServiceSpec NO_COLD_RATE =
            new ServiceSpec("s", 10, 0, 0, Optional.empty());

    /** The VM, whose list of VMs is never settled, so it is no owner. */
    private static final VmRoster ROSTER = Rosters.withMembers("vm", List.of("vm"), 1_000_000);

    private final UpstreamPool pool = new UpstreamPool(Map.of(Replicas.ZONE, new RegionId("r")));
    private final ProbePlan plan = new ProbePlan(pool, 1, 0);
    private final ReplicaTracker replica = publish("i-1", START, 0);

    @Test
    void replicaThatWasSilentForAMomentIsUsedOnceItsProbeIsAnswered() {
        replica.unreachable(1_000);
        assertThat(plan.start(1_000), is(List.of(replica)));
        assertThat(maySelect(1_001), is(false));
        replica.probeAnswered(START, 1_002);
        assertThat(maySelect(1_002), is(true));
        assertThat(plan.wanted(1_002), is(false));
    }

    @Test
    void noRequestIsSentToAReplicaWhileItsProbesCannotReachIt() {
        replica.unreachable(1_000);
        for (long now = 1_000; now < 61_000; now += 10) {
            if (!plan.start(now).isEmpty()) {
                replica.probeUnreachable(now);
            }
            assertThat("at " + now, maySelectAtAnyRate(now), is(false));
        }
        replica.probeAnswered(START, 61_000);
        assertThat(maySelect(61_000), is(true));
        assertThat(replica.mayBeCold(61_000), is(false));
    }

    @Test
    void replicaOfAShortOutageIsProbedAgainSoon() {
        replica.unreachable(1_000);
        long lastProbe = 1_000;
        long longest = 0;
        for (long now = 1_000; now < 6_000; now++) {
            if (!plan.start(now).isEmpty()) {
                longest = Math.max(longest, now - lastProbe);
                replica.probeUnreachable(now);
                lastProbe = now;
            }
        }
        assertThat(longest, is(lessThanOrEqualTo(500L)));
        assertThat(longest, is(greaterThan(300L)));
    }

    @Test
    void restartThatAProbeShowsKeepsTheReplicaColdUntilItsEntryArrives() {
        replica.unreachable(1_000);
        plan.start(1_000);
        assertThat(replica.probeAnswered(START + 1, 1_002), is(RestartEvidence.RESTARTED));
        assertThat(maySelect(1_002), is(false));
        assertThat(replica.mayBeCold(60_000), is(true));
        publish("i-1", START + 1, 60_000);
        assertThat(replica.mayBeCold(60_000), is(false));
        assertThat(maySelect(60_000), is(true));
    }

    @Test
    void answerWithoutAStartKeepsTheCautionOfTwoFailures() {
        replica.unreachable(1_000);
        replica.unreachable(1_001);
        plan.start(1_001);
        assertThat(replica.probeAnswered(NO_START, 1_002), is(RestartEvidence.UNKNOWN));
        assertThat(replica.failing(), is(false));
        assertThat(maySelect(4_001), is(false));
        assertThat(maySelect(4_002), is(true));
    }

    @Test
    void answersOfAReplicaWhoseEntryTellsNoStartProveNothing() {
        ReplicaTracker untold = publish("i-2", NO_START, 0);
        assertThat(untold.probeAnswered(START, 1_000), is(RestartEvidence.UNKNOWN));
    }

    @Test
    void answerOfAnEarlierProcessProvesNothing() {
        assertThat(replica.probeAnswered(START - 1, 1_000), is(RestartEvidence.UNKNOWN));
    }

    /** An answer that was on its way ends the ejection; a probe then ends the caution. */
    @Test
    void replicaThatAnsweredALateRequestIsProbedBeforeItGetsItsFullRate() {
        replica.unreachable(1_000);
        replica.unreachable(1_001);
        replica.recordReceived(1_002, 1_002);
        assertThat(maySelect(1_002), is(false));
        assertThat(plan.start(1_002), is(List.of(replica)));
        replica.probeAnswered(START, 1_003);
        assertThat(maySelect(1_003), is(true));
    }

    /** A replica may answer status calls although its requests hang. */
    @Test
    void replicaThatAnswersProbesButNoRequestsGetsFewMoreThanOneThatIsNotProbed() {
        ReplicaTracker unprobed = publish("i-2", START, 0);
        int lostUnprobed = requestsInTwentySeconds(unprobed, false);
        int lost = requestsInTwentySeconds(replica, true);
        assertThat(lost, is(lessThanOrEqualTo(lostUnprobed + 2)));
        replica.recordReceived(21_000, 21_000);
        plan.start(21_000);
        replica.probeAnswered(START, 21_000);
        assertThat("its requests are answered again", maySelect(21_000), is(true));
    }

    private int requestsInTwentySeconds(ReplicaTracker mute, boolean probed) {
        int requests = 0;
        long requestEnd = 0;
        for (long now = 1_000; now < 21_000; now += 10) {
            long time = now;
            if (probed) {
                plan.start(now).forEach(tracker -> tracker.probeAnswered(START, time));
            }
            if (now == requestEnd) {
                mute.unreachable(now);
                mute.finished();
            }
            if (now > requestEnd && pool.maySelect(mute, SERVICE, ROSTER, now)) {
                mute.dispatched(0, null, now);
                requestEnd = now + 400;
                requests++;
            }
        }
        return requests;
    }

    /** Requests that were under way in a cut still fail after the probe that followed it. */
    @Test
    void failuresOfOlderRequestsBlockAReturnedReplicaOnlyBriefly() {
        replica.unreachable(1_000);
        plan.start(1_000);
        replica.probeAnswered(START, 1_002);
        replica.unreachable(1_100);
        replica.unreachable(1_150);
        assertThat(maySelect(1_150), is(false));
        for (long now = 1_150; now < 1_500; now++) {
            long time = now;
            plan.start(now).forEach(tracker -> tracker.probeAnswered(START, time));
        }
        assertThat(maySelect(1_500), is(true));
    }

    @Test
    void replicaThatIgnoresProbesIsTriedWithRequests() {
        replica.unreachable(1_000);
        plan.start(1_000);
        replica.probeUnanswered(1_400);
        assertThat(maySelect(1_400), is(true));
    }

    @Test
    void probesThatAreIgnoredDoNotEjectAReplicaThatAnswersRequests() {
        replica.unreachable(1_000);
        replica.unreachable(1_001);
        replica.recordReceived(1_002, 1_002);
        plan.start(1_002);
        replica.probeUnanswered(1_402);
        assertThat(replica.failing(), is(false));
    }

    @Test
    void requestsTryAReplicaThatIsNoLongerProbed() {
        replica.unreachable(1_000);
        plan.start(1_000);
        replica.probeUnreachable(1_300);
        assertThat(maySelectAtAnyRate(4_999), is(false));
        assertThat(maySelectAtAnyRate(5_000), is(true));
    }

    @Test
    void failedProbeOfAProcessThatHasEndedDoesNotEjectTheNextOne() {
        replica.unreachable(1_000);
        plan.start(1_000);
        publish("i-1", START + 1, 1_200);
        replica.probeUnreachable(1_300);
        assertThat(maySelect(1_300), is(true));
    }

    @Test
    void replicaHasOnePendingProbe() {
        replica.unreachable(1_000);
        assertThat(plan.start(1_000), hasSize(1));
        assertThat(plan.start(60_000), is(empty()));
    }

    @Test
    void leavingReplicaIsNotProbed() {
        replica.unreachable(1_000);
        replica.recordLeaving();
        assertThat(plan.wanted(1_000), is(false));
        assertThat(plan.start(1_000), is(empty()));
    }

    @Test
    void probesStayBelowTheirRateWhenAZoneGoesAway() {
        for (int i = 0; i < 100; i++) {
            publish("z-" + i, START, 0).unreachable(1_000);
        }
        Set<ReplicaTracker> probed = new HashSet<>();
        int probes = 0;
        for (long now = 1_000; now < 11_000; now += 50) {
            for (ReplicaTracker tracker : plan.start(now)) {
                tracker.probeUnreachable(now);
                probed.add(tracker);
                probes++;
            }
        }
        assertThat(probes, is(lessThanOrEqualTo(210)));
        assertThat("each replica gets its turn", probed, hasSize(101));
    }

    @Test
    void acceptedProbeShowsThatThePathIsNotLost() {
        ReplicaTracker first = publish("i-a", START, 0);
        ReplicaTracker second = publish("i-b", START, 0);
        first.connectionFailed(1_000, 1_300);
        second.connectionFailed(1_010, 1_310);
        assertThat(pool.pathLost("s", replica.region()), is(true));
        assertThat(plan.start(1_320), hasItem(replica));
        replica.probeUnanswered(1_700);
        assertThat(pool.pathLost("s", replica.region()), is(false));
    }

    private boolean maySelect(long now) {
        return pool.maySelect(replica, SERVICE, ROSTER, now);
    }

    private boolean maySelectAtAnyRate(long now) {
        return pool.maySelect(replica, NO_COLD_RATE, ROSTER, now);
    }

    private ReplicaTracker publish(String id, long startedAt, long now) {
        return pool.publish(Replicas.ready(id, startedAt, 0), Optional.of(SERVICE), now)
                .orElseThrow();
    }
}
