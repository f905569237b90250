package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.Customer;
import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.GatewayConfig;
import io.vanillapoint.api.model.Lifecycle;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.TokenGrant;
import io.vanillapoint.api.model.Upstream;
import io.vanillapoint.api.model.UpstreamId;
import io.vanillapoint.api.model.UpstreamKind;
import io.vanillapoint.api.model.Vm;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.invariant.Invariants;
import io.vanillapoint.core.message.RouteTarget;
import io.vanillapoint.core.message.VisitedPath;
import io.vanillapoint.core.routing.DispatchQuery;
import io.vanillapoint.core.routing.Dispatcher;
import io.vanillapoint.core.routing.SpillRule;
import io.vanillapoint.core.routing.UpstreamPolicies;
import io.vanillapoint.core.routing.UpstreamTable;
import io.vanillapoint.core.time.ClockReading;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.LongConsumer;

/**
 * Benchmark that prints the time of single decisions and how it grows with the number of customers
 * and replicas. The figures are means over many calls in one run; compare their ratios rather than
 * their absolute values.
 */
public final class DecisionCost {
    private static final RegionId REGION = new RegionId("region-0");
    private static final int REGIONS = 12;
    private static final long WARM_UP_CALLS = 20_000;
    private static final long CALLS = 20_000;
    private static final double MEGABYTE = 1 << 20;

    private DecisionCost() {}

    /**
     * Prints the table.
     *
     * @param args none
     */
    public static void main(String[] args) {
        System.out.println("what                                   size      micros/call");
        for (int customers : new int[] {5, 1_000, 13_000}) {
            RegionAuthority authority = authority(customers);
            measure(
                    "reserve and settle, customers",
                    customers,
                    CALLS,
                    call -> {
                        ClockReading now = ClockReading.monotonic(10_000 + call);
                        CustomerId id = new CustomerId("customer-" + call % customers);
                        authority.reserve(now, new VmId("vm-0"), call, id, 1);
                        authority.settle(now, new VmId("vm-0"), call, 1);
                    });
        }
        for (int customers : new int[] {5, 1_000, 13_000}) {
            GatewayConfig config = config(customers, 10, 31);
            RegionAuthority authority = authority(customers);
            measure(
                    "take over a configuration, customers",
                    customers,
                    20,
                    call -> authority.configure(ClockReading.monotonic(20_000 + call), config, 1));
        }
        for (int replicas : new int[] {10, 133, 1_600}) {
            Dispatcher dispatcher = dispatcher(replicas);
            measure(
                    "choose an upstream, replicas in all",
                    replicas,
                    replicas > 1_000 ? 2_000 : CALLS,
                    call -> dispatcher.choose(call, query(call), vm -> true));
        }
        printMemory();
    }

    private static void printMemory() {
        for (int customers : new int[] {5, 13_000}) {
            long before = usedMemory();
            RegionAuthority authority = authority(customers);
            double megabytes = (usedMemory() - before) / MEGABYTE;
            System.out.printf(
                    "%-38s %-9d %.1f MB %s%n",
                    "memory of shares and configuration",
                    customers,
                    megabytes,
                    authority.isActive() ? "" : " ");
        }
    }

    private static long usedMemory() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static void measure(String label, int size, long calls, LongConsumer call) {
        long warmUp = Math.min(WARM_UP_CALLS, calls);
        for (long i = 0; i < warmUp; i++) {
            call.accept(i);
        }
        long start = System.nanoTime();
        for (long i = warmUp; i < warmUp + calls; i++) {
            call.accept(i);
        }
        double micros = (System.nanoTime() - start) / 1_000.0 / calls;
        System.out.printf("%-38s %-9d %.2f%n", label, size, micros);
    }

    private static RegionAuthority authority(int customers) {
        AuthoritySettings settings =
                new AuthoritySettings(
                        new VmId("vm-0"), REGION, 1, LimitTiming.defaults(), SharePolicy.DELEGATED);
        RegionAuthority authority =
                new RegionAuthority(
                        settings,
                        ClockReading.monotonic(0),
                        (code, values) -> {},
                        new Invariants((code, values) -> {}));
        authority.configure(ClockReading.monotonic(1), config(customers, 10, 1), 1);
        authority.recordListRead(ClockReading.monotonic(6_000));
        authority.tick(ClockReading.monotonic(6_001));
        return authority;
    }

    private static Dispatcher dispatcher(int replicas) {
        UpstreamTable table = new UpstreamTable((code, values) -> {});
        Random random = new Random(1);
        Dispatcher dispatcher =
                new Dispatcher(
                        REGION,
                        table,
                        UpstreamPolicies.PREFIX_AFFINITY,
                        random::nextLong,
                        SpillRule.defaults());
        dispatcher.configure(config(5, replicas, 31));
        return dispatcher;
    }

    private static DispatchQuery query(long call) {
        return new DispatchQuery(
                null,
                new RouteTarget(UpstreamKind.MODEL, "m"),
                "prompt " + call,
                VisitedPath.empty(),
                Set.of(),
                Set.of());
    }

    private static GatewayConfig config(int customers, int replicas, int vms) {
        GatewayConfig.Builder config = GatewayConfig.builder(1);
        for (int i = 0; i < customers; i++) {
            Customer.Builder customer =
                    Customer.builder(
                            new CustomerId("customer-" + i), new TokenGrant(1_000, 1_000_000));
            customer.region(REGION, 1).region(new RegionId("region-1"), 1);
            config.customer(customer.build());
        }
        Endpoint address = new Endpoint("127.0.0.1", 1);
        ZoneId zone = new ZoneId("zone");
        for (int i = 0; i < vms; i++) {
            VmId id = new VmId("vm-" + i);
            config.vm(new Vm(id, REGION, zone, address, address, address, Lifecycle.LIVE));
        }
        for (int i = 0; i < replicas; i++) {
            config.upstream(
                    new Upstream(
                            new UpstreamId("engine-" + i),
                            UpstreamKind.MODEL,
                            new RegionId("region-" + i % REGIONS),
                            zone,
                            address,
                            Set.copyOf(List.of("m")),
                            8,
                            1,
                            Lifecycle.LIVE));
        }
        return config.build();
    }
}
