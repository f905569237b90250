package io.vanillapoint.emulator;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.FleetTiming;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.HeartbeatPlan;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.fleet.MemberState;
import io.vanillapoint.core.fleet.ReportKind;
import io.vanillapoint.core.fleet.ReportPager;
import io.vanillapoint.core.fleet.VmRoster;
import io.vanillapoint.core.prompt.SessionLocations;
import io.vanillapoint.core.quarantine.QuarantineReport;
import io.vanillapoint.core.upstream.PlacementWeights;
import io.vanillapoint.core.upstream.ReplicaChooser;
import io.vanillapoint.core.upstream.UpstreamPool;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * An entry VM: the production placement and membership code without network and process. Confined
 * to one thread.
 */
final class VmModel {
    private static final int MIN_FLEET_SIZE = 2;

    private final String name;
    private final RegionId region;
    private final FleetView view;
    private final VmRoster roster;
    private final UpstreamPool pool;
    private final SessionLocations sessions = new SessionLocations();
    private final ReplicaChooser chooser;
    private final ReportPager reportPager = new ReportPager(1);
    private final HeartbeatPlan heartbeatPlan = new HeartbeatPlan(FleetTiming.DEFAULT);
    private final Random random;

    VmModel(String name, RegionId region, ZoneId zone, Map<ZoneId, RegionId> zones, Random random) {
        this.name = name;
        this.region = region;
        this.random = random;
        MemberInfo self =
                new MemberInfo(name, name, region, zone, MemberInfo.ONE_CORE, 1, MemberState.READY);
        view = new FleetView(self, FleetTiming.DEFAULT, MIN_FLEET_SIZE);
        pool = new UpstreamPool(zones);
        roster = new VmRoster(self, Set.of(zone), MIN_FLEET_SIZE, FleetTiming.DEFAULT, 0);
        chooser = new ReplicaChooser(pool, view, roster, PlacementWeights.DEFAULT, sessions);
    }

    String name() {
        return name;
    }

    RegionId region() {
        return region;
    }

    FleetView view() {
        return view;
    }

    UpstreamPool pool() {
        return pool;
    }

    SessionLocations sessions() {
        return sessions;
    }

    ReplicaChooser chooser() {
        return chooser;
    }

    Random random() {
        return random;
    }

    List<String> heartbeatTargets(long now) {
        return heartbeatPlan.next(view, now).all();
    }

    FleetReport report(long now) {
        FleetReport.Builder report = view.nextReport(0);
        ReportPager.Content content =
                new ReportPager.Content(
                        Map.of(),
                        pool.outstandingByReplica(),
                        sessions.recentReads(now),
                        view.observations(now),
                        QuarantineReport.EMPTY,
                        pool.unreachable(region, now),
                        pool.receivedRejectionLimits(now),
                        pool.silences(now),
                        pool.signals(now));
        reportPager.fill(report, view.self(), content, ReportKind.BEAT.maxMembers());
        return report.build();
    }

    void receive(FleetReport report, long now) {
        roster.observe(report, now);
        view.receive(report, now);
        sessions.mergeReads(report.reads(), now);
        if (report.self().region().equals(region)) {
            pool.mergeRejectionLimits(report.rejectionLimits(), now);
        }
        pool.mergeSilences(report, now);
        pool.mergeSignals(report, now);
    }
}
