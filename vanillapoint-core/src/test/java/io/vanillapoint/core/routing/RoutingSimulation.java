package io.vanillapoint.core.routing;

import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.GatewayConfig;
import io.vanillapoint.api.model.Lifecycle;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.Upstream;
import io.vanillapoint.api.model.UpstreamId;
import io.vanillapoint.api.model.UpstreamKind;
import io.vanillapoint.api.model.Vm;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.api.plugin.UpstreamPolicy;
import io.vanillapoint.core.message.Hop;
import io.vanillapoint.core.message.RouteTarget;
import io.vanillapoint.core.message.VisitedPath;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Simulates, in virtual time, three regions with two VMs and three engines each. Uses the real
 * {@link Dispatcher}. An engine slows down in proportion to its load above its capacity, caches the
 * most recently used prefixes, and reports its load with a lag.
 */
final class RoutingSimulation {
    static final RouteTarget TARGET = new RouteTarget(UpstreamKind.MODEL, "m");
    static final List<RegionId> REGIONS =
            List.of(new RegionId("a"), new RegionId("b"), new RegionId("c"));

    private static final int ENGINES_PER_REGION = 3;
    private static final int CAPACITY = 8;
    private static final int CACHED_PREFIXES = 12;
    private static final long PREFILL_MILLIS = 400;
    private static final long CACHED_PREFILL_MILLIS = 40;
    private static final long DECODE_MILLIS = 1_000;
    private static final long ONE_WAY_MILLIS = 55;

    private final Random random;
    private final long reportLagMillis;
    private final Map<UpstreamId, Engine> engines = new TreeMap<>();
    private final Map<VmId, Entry> entries = new TreeMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final List<Long> responseMillis = new ArrayList<>();
    private long now;
    private long eventCount;
    private int forwardCount;
    private int cacheHitCount;

    RoutingSimulation(long seed, UpstreamPolicy policy, SpillRule spill, long reportLagMillis) {
        this.random = new Random(seed);
        this.reportLagMillis = reportLagMillis;
        GatewayConfig config = config();
        for (Upstream upstream : config.upstreams()) {
            engines.put(upstream.id(), new Engine());
        }
        for (Vm vm : config.vms().values()) {
            entries.put(vm.id(), new Entry(vm, policy, spill, config));
        }
    }

    /** Sends requests at random times; the first region gets more than the others. */
    Result run(long millis, double perSecondFirst, double perSecondOther, int prefixes) {
        for (RegionId region : REGIONS) {
            double perSecond = region.equals(REGIONS.get(0)) ? perSecondFirst : perSecondOther;
            scheduleArrivals(region, perSecond, millis, prefixes);
        }
        for (long at = 0; at < millis; at += 1_000) {
            schedule(at, this::reportLoads);
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        responseMillis.sort(null);
        return new Result(
                quantile(0.5),
                quantile(0.95),
                quantile(0.99),
                forwardCount / (double) responseMillis.size(),
                cacheHitCount / (double) responseMillis.size());
    }

    private void scheduleArrivals(RegionId region, double perSecond, long millis, int prefixes) {
        double at = 0;
        while (at < millis) {
            at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
            VmId vm = new VmId(region + "-" + random.nextInt(2));
            String prefix = "prefix " + (int) (prefixes * Math.pow(random.nextDouble(), 2));
            schedule((long) at, () -> entries.get(vm).admit(prefix, now, VisitedPath.empty()));
        }
    }

    private void schedule(long when, Runnable action) {
        events.add(new Event(when, eventCount++, action));
    }

    private void reportLoads() {
        engines.forEach(
                (id, engine) -> {
                    int running = engine.running;
                    schedule(
                            now + reportLagMillis,
                            () ->
                                    entries.values()
                                            .forEach(
                                                    entry -> entry.table.report(now, id, running)));
                });
    }

    private long quantile(double fraction) {
        return responseMillis.get((int) (fraction * (responseMillis.size() - 1)));
    }

    private static GatewayConfig config() {
        GatewayConfig.Builder config = GatewayConfig.builder(1);
        Endpoint address = new Endpoint("127.0.0.1", 1);
        for (RegionId region : REGIONS) {
            ZoneId zone = new ZoneId(region.value());
            for (int i = 0; i < 2; i++) {
                VmId id = new VmId(region + "-" + i);
                config.vm(new Vm(id, region, zone, address, address, address, Lifecycle.LIVE));
            }
            for (int i = 0; i < ENGINES_PER_REGION; i++) {
                config.upstream(
                        new Upstream(
                                new UpstreamId(region + "-engine-" + i),
                                UpstreamKind.MODEL,
                                region,
                                zone,
                                address,
                                Set.of("m"),
                                CAPACITY,
                                1,
                                Lifecycle.LIVE));
            }
        }
        return config.build();
    }

    /** One VM. */
    private final class Entry {
        private final Vm vm;
        private final UpstreamTable table = new UpstreamTable((code, values) -> {});
        private final Dispatcher dispatcher;

        private Entry(Vm vm, UpstreamPolicy policy, SpillRule spill, GatewayConfig config) {
            this.vm = vm;
            this.dispatcher = new Dispatcher(vm.region(), table, policy, random::nextLong, spill);
            dispatcher.configure(config);
        }

        private void admit(String prefix, long sentAt, VisitedPath before) {
            VisitedPath path = before.append(new Hop(vm.id(), vm.region()));
            DispatchQuery query = new DispatchQuery(null, TARGET, prefix, path, Set.of(), Set.of());
            Dispatch chosen = dispatcher.choose(now, query, other -> true);
            queryLoads(query);
            if (chosen instanceof Dispatch.ToVm remote) {
                forwardCount++;
                Entry next = entries.get(remote.vm().id());
                schedule(
                        now + ONE_WAY_MILLIS,
                        () -> next.admit(prefix, sentAt - ONE_WAY_MILLIS, path));
            } else if (chosen instanceof Dispatch.ToUpstream local) {
                run(local.upstream().id(), prefix, sentAt);
            }
        }

        private void run(UpstreamId upstream, String prefix, long sentAt) {
            Engine engine = engines.get(upstream);
            table.begin(upstream, 1);
            engine.running++;
            boolean hit = engine.use(prefix);
            cacheHitCount += hit ? 1 : 0;
            double slowdown = Math.max(1, engine.running / (double) CAPACITY);
            long prefill = hit ? CACHED_PREFILL_MILLIS : PREFILL_MILLIS;
            long end = now + (long) ((prefill + DECODE_MILLIS) * slowdown);
            schedule(
                    end,
                    () -> {
                        engine.running--;
                        table.end(now, upstream, 1, true);
                        responseMillis.add(now - sentAt);
                    });
        }

        private void queryLoads(DispatchQuery query) {
            for (RegionId region : dispatcher.regionsToQuery(now, query)) {
                Entry queried = entries.get(new VmId(region + "-" + random.nextInt(2)));
                schedule(
                        now + ONE_WAY_MILLIS,
                        () -> {
                            double load = queried.table.lowestLoad(now, TARGET, region);
                            schedule(
                                    now + ONE_WAY_MILLIS,
                                    () -> dispatcher.loads().report(now, TARGET, region, load));
                        });
            }
        }
    }

    /** One engine with an LRU cache of prefixes. */
    private static final class Engine {
        private int running;
        private final Map<String, Boolean> prefixes =
                new LinkedHashMap<>(16, 0.75f, true) {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                        return size() > CACHED_PREFIXES;
                    }
                };

        private boolean use(String prefix) {
            return prefixes.put(prefix, true) != null;
        }
    }

    private record Event(long at, long number, Runnable action) {}

    /**
     * Result of a run.
     *
     * @param p50 median response time in milliseconds
     * @param p95 95th percentile of the response time in milliseconds
     * @param p99 99th percentile of the response time in milliseconds
     * @param forwardRatio forwards to other regions per request
     * @param cacheHitRatio fraction of requests whose prefix was in the engine's cache
     */
    record Result(long p50, long p95, long p99, double forwardRatio, double cacheHitRatio) {
        @Override
        public String toString() {
            return String.format(
                    "response time p50/p95/p99 %d/%d/%d ms, remote %.3f, cache hits %.3f",
                    p50, p95, p99, forwardRatio, cacheHitRatio);
        }
    }
}
