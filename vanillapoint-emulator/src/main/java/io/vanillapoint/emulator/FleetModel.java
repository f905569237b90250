package io.vanillapoint.emulator;

import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.FleetTiming;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.published.EngineSpec;
import io.vanillapoint.core.published.ReplicaState;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.published.UpstreamReplica;
import io.vanillapoint.emulator.engine.EngineModel;
import io.vanillapoint.emulator.scenario.RegionParameters;
import io.vanillapoint.emulator.scenario.Scenario;
import io.vanillapoint.emulator.scenario.Trouble;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * All VMs and engines of a scenario, the links between them and their disruptions. Confined to one
 * thread.
 */
final class FleetModel {
    static final String SERVICE = "engines";
    private static final double IN_REGION_DELAY_MILLIS = 0.3;
    private static final long FIRST_INCARNATION = 1;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final VirtualTime time;
    private final Scenario scenario;
    private final Random random;
    private final ServiceSpec service;
    private final Map<String, VmModel> vms = new HashMap<>();
    private final Map<RegionId, List<VmModel>> vmsByRegion = new HashMap<>();
    private final Map<String, EngineModel> engines = new HashMap<>();
    private final Map<RegionId, List<String>> enginesByRegion = new HashMap<>();

    FleetModel(VirtualTime time, Scenario scenario, Random random) {
        this.time = time;
        this.scenario = scenario;
        this.random = random;
        EngineSpec engineSpec =
                new EngineSpec(scenario.engine().slots(), scenario.engine().cacheTokens(), true);
        service = new ServiceSpec(SERVICE, Integer.MAX_VALUE, 0, 0, Optional.of(engineSpec));
        Map<ZoneId, RegionId> zones = new HashMap<>();
        scenario.regions().forEach(region -> zones.put(zone(region), id(region)));
        scenario.regions().forEach(region -> buildRegion(region, zones));
        vms.values().forEach(this::publish);
        vms.values().forEach(vm -> time.schedule(random.nextInt(100), () -> sendHeartbeat(vm)));
        scenario.troubles().forEach(this::schedule);
    }

    ServiceSpec service() {
        return service;
    }

    List<VmModel> vms(RegionId region) {
        return vmsByRegion.get(region);
    }

    EngineModel engine(String id) {
        return engines.get(id);
    }

    Iterable<EngineModel> engines() {
        return engines.values();
    }

    /** One-way delay between VMs of two regions. */
    double delayMillis(RegionId from, RegionId to) {
        return from.equals(to) ? IN_REGION_DELAY_MILLIS : scenario.regionDelayMillis();
    }

    boolean partitioned(RegionId from, RegionId to) {
        if (from.equals(to)) {
            return false;
        }
        double second = time.millis() / MILLIS_PER_SECOND;
        return scenario.troubles().stream()
                .filter(trouble -> trouble.kind() == Trouble.Kind.REGION_CUT)
                .filter(trouble -> trouble.active(second))
                .anyMatch(
                        trouble ->
                                trouble.region().equals(from.value())
                                        || trouble.region().equals(to.value()));
    }

    private void buildRegion(RegionParameters region, Map<ZoneId, RegionId> zones) {
        RegionId id = id(region);
        List<VmModel> regionVms = new ArrayList<>();
        for (int i = 0; i < region.vms(); i++) {
            String name = region.name() + "-vm" + i;
            Random vmRandom = new Random(random.nextLong());
            VmModel vm = new VmModel(name, id, zone(region), zones, vmRandom);
            vms.put(name, vm);
            regionVms.add(vm);
        }
        vmsByRegion.put(id, regionVms);
        List<String> regionEngines = new ArrayList<>();
        for (int i = 0; i < region.engines(); i++) {
            String name = region.name() + "-engine" + i;
            engines.put(name, new EngineModel(time, scenario.engine()));
            regionEngines.add(name);
        }
        enginesByRegion.put(id, regionEngines);
    }

    private void publish(VmModel vm) {
        enginesByRegion.forEach(
                (region, ids) ->
                        ids.forEach(
                                engine ->
                                        vm.pool()
                                                .publish(
                                                        replica(engine, region),
                                                        Optional.of(service),
                                                        time.now())));
    }

    private UpstreamReplica replica(String engine, RegionId region) {
        return new UpstreamReplica(
                engine,
                SERVICE,
                new Endpoint(engine, 1),
                new ZoneId(region.value() + "-a"),
                scenario.engine().slots(),
                ReplicaState.READY,
                0,
                FIRST_INCARNATION,
                Set.of("m"));
    }

    private void sendHeartbeat(VmModel vm) {
        long now = time.now();
        FleetReport report = vm.report(now);
        List<String> targets = vm.heartbeatTargets(now);
        if (targets.isEmpty()) {
            targets = List.copyOf(vms.keySet());
        }
        for (String target : targets) {
            VmModel other = vms.get(target);
            if (other != vm && !partitioned(vm.region(), other.region())) {
                double delay = delayMillis(vm.region(), other.region());
                time.schedule(delay, () -> other.receive(report, time.now()));
            }
        }
        time.schedule(FleetTiming.DEFAULT.regionIntervalMillis(), () -> sendHeartbeat(vm));
    }

    private void schedule(Trouble trouble) {
        double startMillis = trouble.atSecond() * MILLIS_PER_SECOND;
        double lengthMillis = trouble.seconds() * MILLIS_PER_SECOND;
        RegionId region = new RegionId(trouble.region());
        switch (trouble.kind()) {
            case ENGINES_CRASH -> {
                List<String> ids = enginesByRegion.get(region);
                int count = (int) Math.ceil(ids.size() * trouble.factor());
                for (String engine : ids.subList(0, Math.min(count, ids.size()))) {
                    time.schedule(startMillis, () -> crash(engine));
                    time.schedule(startMillis + lengthMillis, () -> restart(engine, region));
                }
            }
            case EVACUATION -> {
                ZoneId zone = new ZoneId(trouble.region() + "-a");
                time.schedule(
                        startMillis,
                        () -> vms.values().forEach(vm -> vm.pool().evacuate(zone, true)));
                time.schedule(
                        startMillis + lengthMillis,
                        () -> vms.values().forEach(vm -> vm.pool().evacuate(zone, false)));
            }
            default -> {}
        }
    }

    private void crash(String engine) {
        engines.get(engine).crash();
    }

    private void restart(String engine, RegionId region) {
        engines.get(engine).restart();
        for (VmModel vm : vms.values()) {
            vm.pool().publish(replica(engine, region), Optional.of(service), time.now());
        }
    }

    private static RegionId id(RegionParameters region) {
        return new RegionId(region.name());
    }

    private static ZoneId zone(RegionParameters region) {
        return new ZoneId(region.name() + "-a");
    }

    /** The VM of a member that a placement names. */
    VmModel vm(MemberInfo info) {
        return vms.get(info.vm());
    }
}
