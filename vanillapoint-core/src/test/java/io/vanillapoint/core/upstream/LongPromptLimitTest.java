package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.FleetTiming;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.fleet.UpstreamUse;
import io.vanillapoint.core.prompt.PrefixCacheModel;
import io.vanillapoint.core.prompt.PromptPart;
import io.vanillapoint.core.prompt.PromptSummary;
import io.vanillapoint.core.published.EngineSpec;
import io.vanillapoint.core.published.GatewayPublication;
import io.vanillapoint.core.published.ReplicaState;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.published.TrafficLimits;
import io.vanillapoint.core.published.UpstreamReplica;
import io.vanillapoint.core.upstream.LongPromptLimit.Headroom;
import io.vanillapoint.core.upstream.LongPromptLimit.Verdict;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The limit on unprocessed tokens of long prompts, and the floor below it. */
class LongPromptLimitTest {
    private static final int SLOTS = 16;
    private static final long NOW = 10_000;
    private static final ServiceSpec MODEL =
            new ServiceSpec("model", 100, 0, 0, Optional.of(new EngineSpec(SLOTS, 200_000, false)));

    /** Half of 507 ms at 40 tokens per millisecond. */
    private static final long LIMIT_TOKENS = 10_140;

    private final FleetView fleet = new FleetView(vm("vm0"), FleetTiming.DEFAULT, 2);
    private final LoadAwareness awareness = new LoadAwareness();
    private final LongPromptLimit limit = new LongPromptLimit(fleet, awareness);

    LongPromptLimitTest() {
        awareness.configure(
                new GatewayPublication(
                        1,
                        List.of(PromptReplay.SHORT, PromptReplay.LONG),
                        List.of(MODEL),
                        List.of(),
                        TrafficLimits.DEFAULT));
    }

    @Test
    void limitIsHalfTheShortestTargetOfUrgentRoutes() {
        UpstreamUse use = new UpstreamUse(2, 6_000, 2, 6_000);

        assertThat(headroom(use, LIMIT_TOKENS - 6_000), is(Headroom.FREE));
        assertThat(headroom(use, LIMIT_TOKENS - 6_000 + 1), is(Headroom.OVER_LIMIT));
    }

    /** Guards against prompts longer than the limit that are never served. */
    @Test
    void firstPromptOfAnEngineFitsWhateverItsLength() {
        assertThat(headroom(UpstreamUse.NONE, 500_000), is(Headroom.FREE));
    }

    @Test
    void urgentRequestsThatFillTheBatchLowerTheLimit() {
        assertThat(headroom(new UpstreamUse(9, 2_000, 2, 2_000), 4_000), is(Headroom.FREE));
        assertThat(
                headroom(new UpstreamUse(14, 2_000, 2, 2_000), 4_000),
                is(Headroom.NEEDED_BY_URGENT));
        assertThat(
                headroom(new UpstreamUse(SLOTS - 1, 0, 0, 0), 4_000),
                is(Headroom.NEEDED_BY_URGENT));
    }

    @Test
    void urgentRequestsAreNotLimited() {
        UpstreamUse use = new UpstreamUse(20, 200_000, 10, 100_000);

        assertThat(
                limit.headroom(query(PromptReplay.SHORT, true), "e0", use, 9_000, 40),
                is(Headroom.FREE));
    }

    @Test
    void requestAboveTheLimitIsPlacedIfItBeginsInItsOwnTarget() {
        PlacementQuery query = query(PromptReplay.LONG, true);

        assertThat(limit.judge(query, best(Headroom.OVER_LIMIT, 2_015), NOW), is(Verdict.PLACE));
        assertThat(limit.judge(query, best(Headroom.OVER_LIMIT, 2_016), NOW), is(Verdict.REFUSE));
        assertThat(
                limit.judge(query, best(Headroom.NEEDED_BY_URGENT, 100), NOW), is(Verdict.REFUSE));
    }

    /** Guards against long prompts that starve while urgent requests need all engines. */
    @Test
    void neverMoreThanTwoSecondsPassWithoutAPlacedRequest() {
        PlacementQuery query = query(PromptReplay.LONG, true);
        long lastMillis = NOW;
        int placed = 0;
        for (long now = NOW; now < NOW + 60_000; now += 100) {
            Verdict verdict = limit.judge(query, best(Headroom.NEEDED_BY_URGENT, 100), now);
            if (verdict == Verdict.PLACE_BY_FLOOR) {
                limit.placed(query, now);
                assertThat(now - lastMillis, lessThanOrEqualTo(2_000L));
                lastMillis = now;
                placed++;
            }
        }
        assertThat(placed, is(39));
    }

    /** A refusal of a relayed request would close the region for urgent requests as well. */
    @Test
    void relayedRequestsPass() {
        assertThat(
                limit.judge(
                        query(PromptReplay.LONG, false), best(Headroom.NEEDED_BY_URGENT, 100), NOW),
                is(Verdict.PLACE));
    }

    /** Guards against VMs that use the whole limit each while they don't hear of each other. */
    @Test
    void vmThatHearsNoOtherUsesItsPartOfTheLimit() {
        for (int i = 1; i < 4; i++) {
            fleet.receive(FleetReport.builder(vm("vm" + i), 1).build(), NOW);
        }
        UpstreamUse use = new UpstreamUse(1, 100, 1, 100);
        limit.refresh(NOW + 1_000);
        assertThat(headroom(use, LIMIT_TOKENS - 100), is(Headroom.FREE));

        limit.refresh(NOW + 10_000);

        assertThat(fleet.trafficVmsWhileAlone(NOW + 10_000), is(4));
        assertThat(headroom(use, LIMIT_TOKENS / 4 - 100), is(Headroom.FREE));
        assertThat(headroom(use, LIMIT_TOKENS / 4 - 99), is(Headroom.OVER_LIMIT));
        int mine = 0;
        for (int engine = 0; engine < 400; engine++) {
            PlacementQuery query = query(PromptReplay.LONG, true);
            Headroom headroom = limit.headroom(query, "e" + engine, UpstreamUse.NONE, 9_000, 40);
            mine += headroom == Headroom.FREE ? 1 : 0;
        }
        assertThat("engines on which this VM may begin a long prompt", mine / 50, is(2));
    }

    private Headroom headroom(UpstreamUse use, long tokens) {
        return limit.headroom(query(PromptReplay.LONG, true), "e0", use, tokens, 40);
    }

    private static Candidate best(Headroom headroom, double expectedMillis) {
        UpstreamReplica info =
                new UpstreamReplica(
                        "e0",
                        "model",
                        new Endpoint("10.0.0.1", 80),
                        ReplayVm.ZONE,
                        SLOTS,
                        ReplicaState.READY,
                        0,
                        1,
                        Set.of("m"));
        ReplicaTracker tracker =
                new ReplicaTracker(
                        info,
                        ReplayVm.REGION,
                        new PrefixCacheModel(1),
                        new ResponseTimes(),
                        new ServiceFailures(),
                        new ServiceTimes(),
                        NOW);
        Candidate candidate = new Candidate(tracker, PlacementPath.DIRECT);
        candidate.headroom = headroom;
        candidate.expectedMillis = expectedMillis;
        return candidate;
    }

    private PlacementQuery query(RouteSpec route, boolean mayRelay) {
        PromptSummary prompt =
                new PromptSummary("m", List.of(new PromptPart("own", 9_000)), 9_000, 10);
        return new PlacementQuery(
                route,
                MODEL,
                Optional.of(prompt),
                9_000,
                region -> true,
                Set.of(),
                mayRelay,
                0,
                6_000,
                Optional.of(EngineRank.of(1, route.priority())));
    }

    private static MemberInfo vm(String name) {
        return new MemberInfo(
                name,
                "10.0.0.9",
                ReplayVm.REGION,
                ReplayVm.ZONE,
                MemberInfo.ONE_CORE,
                1,
                MemberState.READY);
    }
}
