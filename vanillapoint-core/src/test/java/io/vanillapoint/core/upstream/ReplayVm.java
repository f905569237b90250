package io.vanillapoint.core.upstream;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.FleetTiming;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.fleet.Rosters;
import io.vanillapoint.core.prompt.SessionLocations;
import io.vanillapoint.core.published.GatewayPublication;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One VM of a replay, with its own view of the others. */
final class ReplayVm {
    static final RegionId REGION = new RegionId("r");
    static final ZoneId ZONE = new ZoneId("z");

    final FleetView fleet;
    final UpstreamPool pool = new UpstreamPool(Map.of(ZONE, REGION));
    final SessionLocations locations = new SessionLocations();
    final ReplicaChooser chooser;
    private final MemberInfo info;
    private long heartbeats;

    /**
     * Creates a VM that knows the others.
     *
     * @param publication configuration in force, empty to place requests by the plain rule
     */
    ReplayVm(String name, List<String> names, Optional<GatewayPublication> publication) {
        info =
                new MemberInfo(
                        name, "10.0.0.9", REGION, ZONE, MemberInfo.ONE_CORE, 1, MemberState.READY);
        fleet = new FleetView(info, FleetTiming.DEFAULT, 2);
        publication.ifPresent(pool.loadAwareness()::configure);
        chooser =
                new ReplicaChooser(
                        pool,
                        fleet,
                        Rosters.withMembers(name, names, 0),
                        PlacementWeights.DEFAULT,
                        locations);
    }

    /** Returns the heartbeat for the others, after dropping what is out of date. */
    FleetReport report(long nowMillis) {
        fleet.prune(nowMillis);
        pool.prune(nowMillis);
        return FleetReport.builder(info, ++heartbeats)
                .upstreams(pool.outstandingByReplica())
                .build();
    }
}
