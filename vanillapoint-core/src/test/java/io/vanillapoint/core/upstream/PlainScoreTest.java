package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.FleetTiming;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.fleet.UpstreamUse;
import io.vanillapoint.core.prompt.PromptPart;
import io.vanillapoint.core.prompt.PromptSummary;
import io.vanillapoint.core.published.EngineSpec;
import io.vanillapoint.core.published.ReplicaState;
import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceShare;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.published.UpstreamReplica;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Requests without a rank are scored exactly as before load-aware placement was introduced, also if
 * other VMs already report deferrable work.
 */
class PlainScoreTest {
    private static final RegionId REGION = new RegionId("r");
    private static final ZoneId ZONE = new ZoneId("z");
    private static final long NOW = 10_000;
    private static final int SLOTS = 16;
    private static final ServiceSpec ENGINES =
            new ServiceSpec(
                    "engines", 100, 0, 0, Optional.of(new EngineSpec(SLOTS, 200_000, false)));

    @Test
    void drawnRequestsGetTheSameTimeAndLoss() {
        Random random = new Random(11);
        for (int run = 0; run < 2_000; run++) {
            compare(random);
        }
    }

    private static void compare(Random random) {
        FleetView fleet = new FleetView(vm("a"), FleetTiming.DEFAULT, 2);
        UpstreamPool pool = new UpstreamPool(Map.of(ZONE, REGION));
        UpstreamReplica info =
                new UpstreamReplica(
                        "e",
                        "engines",
                        new Endpoint("10.0.0.1", 80),
                        ZONE,
                        SLOTS,
                        ReplicaState.READY,
                        0,
                        1,
                        Set.of("m"));
        ReplicaTracker tracker = pool.publish(info, Optional.of(ENGINES), NOW).orElseThrow();
        int own = random.nextInt(12);
        long ownTokens = 0;
        for (int i = 0; i < own; i++) {
            long tokens = random.nextInt(9_000);
            ownTokens += tokens;
            tracker.dispatched(tokens, null, NOW);
            if (random.nextBoolean()) {
                tracker.deferrableWork().dispatched(tokens);
            }
        }
        int others = random.nextInt(12);
        long otherTokens = random.nextInt(50_000);
        UpstreamUse otherUse = new UpstreamUse(others, otherTokens, others / 2, otherTokens / 2);
        fleet.receive(
                FleetReport.builder(vm("b"), 1).upstreams(Map.of("e", otherUse)).build(), NOW);
        long shared = random.nextInt(6_000);
        long ownPrompt = random.nextInt(3_000);
        PromptSummary prompt =
                new PromptSummary(
                        "m",
                        List.of(new PromptPart("s", shared), new PromptPart("o", ownPrompt)),
                        shared + ownPrompt,
                        50);
        long elapsed = random.nextInt(400);
        RouteSpec route = route(random.nextInt(4));
        PlacementQuery query =
                new PlacementQuery(
                        route,
                        ENGINES,
                        Optional.of(prompt),
                        9_000,
                        region -> true,
                        Set.of(),
                        true,
                        elapsed,
                        4_000);
        ReplicaScorer scorer =
                new ReplicaScorer(
                        fleet,
                        PlacementWeights.DEFAULT,
                        new LongPromptLimit(fleet, pool.loadAwareness()),
                        pool.loadAwareness());
        for (int i = random.nextInt(20); i > 0; i--) {
            scorer.engineQueue("engines").sent(EngineRank.of(i % 4, i % 3), NOW);
        }

        Candidate scored =
                scorer.score(tracker, PlacementPath.DIRECT, query, Set.of(), List.of(), NOW);

        long tokensAhead = ownTokens + otherTokens + shared + ownPrompt;
        int requests = own + others;
        double expected = 45 + tokensAhead / 40.0;
        if (requests + 1 > SLOTS) {
            expected += 150.0 * (requests + 1 - SLOTS);
        }
        assertThat(scored.expectedMillis, is(expected));
        double ratio = (expected + elapsed) / route.targetMillis();
        double loss = 0.033 * shared / 1_000.0;
        loss += 0.02 * requests / SLOTS;
        loss += 0.7 * Math.min(1, Math.max(0, (ratio - 0.55) / (1.15 - 0.55)));
        loss += 0.02 * ratio;
        assertThat(scored.loss, is(loss));
    }

    private static RouteSpec route(int priority) {
        return new RouteSpec(
                "r",
                "h",
                "/",
                RouteKind.EVENT_STREAM,
                4_000,
                800,
                300,
                priority,
                List.of(new ServiceShare("engines", 1)),
                2,
                false,
                true,
                false,
                Set.of());
    }

    private static MemberInfo vm(String name) {
        return new MemberInfo(
                name, "10.0.0.9", REGION, ZONE, MemberInfo.ONE_CORE, 1, MemberState.READY);
    }
}
