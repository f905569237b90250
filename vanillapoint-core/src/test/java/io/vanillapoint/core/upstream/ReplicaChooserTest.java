package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.FleetTiming;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.fleet.Rosters;
import io.vanillapoint.core.prompt.PromptPart;
import io.vanillapoint.core.prompt.PromptSummary;
import io.vanillapoint.core.prompt.SessionLocations;
import io.vanillapoint.core.published.EngineSpec;
import io.vanillapoint.core.published.ReplicaState;
import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceShare;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.published.UpstreamReplica;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Replica choice under the load patterns that the chooser handles. */
class ReplicaChooserTest {
    private static final RegionId WEST = new RegionId("west");
    private static final RegionId EAST = new RegionId("east");
    private static final ZoneId WEST_A = new ZoneId("west-a");
    private static final ZoneId EAST_A = new ZoneId("east-a");
    private static final long NOW = 10_000;
    private static final ServiceSpec ENGINES =
            new ServiceSpec(
                    "engines", 100, 3_000, 2.9, Optional.of(new EngineSpec(64, 360_000, true)));
    private static final ServiceSpec PLAIN = new ServiceSpec("plain", 100, 0, 0, Optional.empty());

    private final FleetView fleet =
            new FleetView(vm("west-1", WEST, WEST_A), FleetTiming.DEFAULT, 2);
    private final UpstreamPool pool = new UpstreamPool(Map.of(WEST_A, WEST, EAST_A, EAST));
    private final SessionLocations sessions = new SessionLocations();
    private final ReplicaChooser chooser =
            new ReplicaChooser(
                    pool,
                    fleet,
                    Rosters.withMembers("west-1", List.of("west-1"), 0),
                    PlacementWeights.DEFAULT,
                    sessions);

    @BeforeEach
    void publish() {
        for (int i = 0; i < 4; i++) {
            publish("engine-w" + i, "engines", WEST_A, ReplicaState.READY, 0);
        }
        publish("engine-e0", "engines", EAST_A, ReplicaState.READY, 0);
        publish("plain-w", "plain", WEST_A, ReplicaState.READY, 0);
        publish("plain-e", "plain", EAST_A, ReplicaState.READY, 0);
        FleetReport report = FleetReport.builder(vm("east-1", EAST, EAST_A), 1).build();
        fleet.receive(report, NOW);
    }

    @Test
    void sessionsStayOnTheirEnginesIfTheyShareOnlyTheCommonPrefix() {
        int moved = 0;
        Map<String, String> engines = new HashMap<>();
        for (int round = 0; round < 5; round++) {
            for (int session = 0; session < 40; session++) {
                Placement placement = chooser.choose(draft("s" + session), NOW);
                assertThat(placement, instanceOf(Placement.Local.class));
                Placement.Local local = (Placement.Local) placement;
                String previous = engines.put("s" + session, local.replica().info().id());
                moved += previous != null && !previous.equals(local.replica().info().id()) ? 1 : 0;
                local.replica().dispatched(local.uncachedTokens(), prompt("s" + session), NOW);
                local.replica().recordPromptProcessed(local.uncachedTokens());
                local.replica().finished();
            }
        }
        assertThat(moved, is(0));
        assertThat(new HashSet<>(engines.values()).size(), is(4));
    }

    @Test
    void sessionMovesAwayFromAnEngineThatWouldRespondLate() {
        Placement.Local first = (Placement.Local) chooser.choose(draft("s1"), NOW);
        first.replica().dispatched(60_000, null, NOW);
        Placement.Local second = (Placement.Local) chooser.choose(draft("s1"), NOW);
        assertThat(second.replica().info().id().equals(first.replica().info().id()), is(false));
    }

    @Test
    void movedSessionCopiesThePromptCacheFromItsPreviousEngine() {
        Placement.Local first = (Placement.Local) chooser.choose(draft("s1"), NOW);
        first.replica().dispatched(60_000, prompt("s1"), NOW);
        sessions.recordSent(prompt("s1"), first.replica().info().id(), NOW);
        Placement.Local second = (Placement.Local) chooser.choose(draftHere("s1"), NOW);
        assertThat(second.cacheSource().orElseThrow().id(), is(first.replica().info().id()));
    }

    @Test
    void sessionThatStaysOnItsEngineCopiesNoCache() {
        Placement.Local first = (Placement.Local) chooser.choose(draft("s1"), NOW);
        first.replica().dispatched(0, prompt("s1"), NOW);
        sessions.recordSent(prompt("s1"), first.replica().info().id(), NOW);
        Placement.Local second = (Placement.Local) chooser.choose(draft("s1"), NOW);
        assertThat(second.cacheSource().isPresent(), is(false));
    }

    /** Guards against placement at a replica whose machine is slowed down at the moment. */
    @Test
    void requestsAvoidAReplicaWhileItReportsASlowdown() {
        publish("plain-w2", "plain", WEST_A, ReplicaState.READY, 0);
        pool.recordLoad(
                pool.replica("plain-w").orElseThrow(),
                new LoadReport(1, 0, 6, OptionalInt.of(250)),
                NOW);
        for (int i = 0; i < 20; i++) {
            Placement.Local placed = (Placement.Local) chooser.choose(plain(Set.of()), NOW + 100);
            assertThat(placed.replica().info().id(), is("plain-w2"));
        }
        for (int i = 0; i < 6; i++) {
            pool.replica("plain-w2").orElseThrow().dispatched(0, null, NOW + 2_000);
        }
        Placement.Local later = (Placement.Local) chooser.choose(plain(Set.of()), NOW + 2_000);
        assertThat(later.replica().info().id(), is("plain-w"));
    }

    @Test
    void lowFailureRateDoesNotMoveRequestsToAnotherRegion() {
        ReplicaTracker local = pool.replica("plain-w").orElseThrow();
        for (int i = 0; i < 200; i++) {
            local.recordOutcome(i % 25 == 0);
            assertThat(chooser.choose(plain(Set.of()), NOW), instanceOf(Placement.Local.class));
        }
    }

    @Test
    void requestsOfAFailingReplicaMoveToAnotherRegion() {
        ReplicaTracker local = pool.replica("plain-w").orElseThrow();
        for (int i = 0; i < 100; i++) {
            local.recordOutcome(true);
        }
        assertThat(chooser.choose(plain(Set.of()), NOW), instanceOf(Placement.Relay.class));
    }

    @Test
    void drainingAndEvacuatedReplicasGetNoRequests() {
        publish("plain-w", "plain", WEST_A, ReplicaState.DRAINING, 0);
        pool.evacuate(EAST_A, true);
        Placement placement = chooser.choose(plain(Set.of()), NOW);
        assertThat(placement, instanceOf(Placement.Refuse.class));
    }

    @Test
    void lapsedEntryIsUsedForTwoMoreSecondsInAStoreOutage() {
        pool.evacuate(EAST_A, true);
        pool.remove("plain-w", true, NOW);
        assertThat(chooser.choose(plain(Set.of()), NOW + 1_900), instanceOf(Placement.Local.class));
        assertThat(
                chooser.choose(plain(Set.of()), NOW + 2_100), instanceOf(Placement.Refuse.class));
    }

    @Test
    void vmSendsOnlyItsShareOfTheColdRate() {
        for (int i = 0; i < 4; i++) {
            pool.remove("engine-w" + i, true, NOW - 5_000);
        }
        pool.prune(NOW);
        publish("engine-c", "engines", WEST_A, ReplicaState.READY, 60_000);
        int sent = 0;
        for (long now = NOW; now < NOW + 10_000; now += 10) {
            Placement placement = chooser.choose(draftHere("s" + now), now);
            if (placement instanceof Placement.Local local) {
                local.replica().dispatched(local.uncachedTokens(), null, now);
                sent++;
            }
        }
        assertThat(sent, lessThan(12));
    }

    @Test
    void requestIsRefusedAtOnceIfEveryEngineWouldBeFarTooLate() {
        pool.replicas().forEach(tracker -> tracker.dispatched(2_000_000, null, NOW));
        assertThat(chooser.choose(draft("s1"), NOW), instanceOf(Placement.Refuse.class));
    }

    private void publish(
            String id, String service, ZoneId zone, ReplicaState state, long coldMillis) {
        UpstreamReplica replica =
                new UpstreamReplica(
                        id,
                        service,
                        new Endpoint("10.0.0.1", 80),
                        zone,
                        service.equals("plain") ? 6 : 64,
                        state,
                        coldMillis,
                        1,
                        service.equals("plain") ? Set.of() : Set.of("m"));
        ServiceSpec spec = service.equals("plain") ? PLAIN : ENGINES;
        pool.publish(replica, Optional.of(spec), NOW);
    }

    private static PromptSummary prompt(String session) {
        return new PromptSummary(
                "m",
                List.of(
                        new PromptPart("common", 2_500),
                        new PromptPart(session, 3_800),
                        new PromptPart(session + "-own", 2_900)),
                9_200,
                50);
    }

    private static PlacementQuery draft(String session) {
        return query(ENGINES, Optional.of(prompt(session)), Set.of(), true);
    }

    private static PlacementQuery draftHere(String session) {
        return query(ENGINES, Optional.of(prompt(session)), Set.of(), false);
    }

    private static PlacementQuery plain(Set<String> tried) {
        return query(PLAIN, Optional.empty(), tried, true);
    }

    private static PlacementQuery query(
            ServiceSpec service, Optional<PromptSummary> prompt, Set<String> tried, boolean relay) {
        RouteSpec route =
                new RouteSpec(
                        "r",
                        "h",
                        "/",
                        prompt.isPresent() ? RouteKind.EVENT_STREAM : RouteKind.IDEMPOTENT,
                        4_000,
                        800,
                        300,
                        1,
                        List.of(new ServiceShare(service.name(), 1)),
                        2,
                        false,
                        true,
                        false,
                        Set.of());
        return new PlacementQuery(
                route, service, prompt, 14_000, region -> true, tried, relay, 0, 4_000);
    }

    private static MemberInfo vm(String name, RegionId region, ZoneId zone) {
        return new MemberInfo(
                name, "10.0.0.9", region, zone, MemberInfo.ONE_CORE, 1, MemberState.READY);
    }
}
