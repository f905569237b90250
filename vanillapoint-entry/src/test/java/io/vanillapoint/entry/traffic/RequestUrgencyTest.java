package io.vanillapoint.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.core.published.CustomerSpec;
import io.vanillapoint.core.published.EngineSpec;
import io.vanillapoint.core.published.GatewayPublication;
import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceShare;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.published.TrafficLimits;
import io.vanillapoint.core.upstream.LoadAwareness;
import io.vanillapoint.entry.port.RequestEnvelope;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Urgency that engines receive, with and without load-aware placement. */
class RequestUrgencyTest {
    private static final ServiceSpec MODEL =
            new ServiceSpec("model", 100, 0, 0, Optional.of(new EngineSpec(16, 200_000, false)));

    private final LoadAwareness awareness = new LoadAwareness();

    /** Guards against long prompts that run before short ones of the same customer. */
    @Test
    void routeIsTheMinorOrderWithinACustomer() {
        configure(2);

        assertThat(urgency(plan(stream("short", 0), OptionalInt.of(1))), is(4));
        assertThat(urgency(plan(stream("long", 2), OptionalInt.of(1))), is(5));
        assertThat(urgency(plan(stream("short", 0), OptionalInt.of(2))), is(6));
        assertThat(urgency(plan(stream("long", 2), OptionalInt.of(4))), is(9));
    }

    /** Guards against any change for deployments that do not ask for load-aware placement. */
    @Test
    void customersPriorityReplacesTheRoutesWhileInactive() {
        configure(1);
        Random random = new Random(5);
        for (int i = 0; i < 1_000; i++) {
            int route = random.nextInt(2);
            int customer = random.nextInt(7);
            OptionalInt priority =
                    random.nextBoolean() ? OptionalInt.of(customer) : OptionalInt.empty();
            int expected = Math.min(9, 2 + 2 * priority.orElse(route));
            assertThat(urgency(plan(stream("any", route), priority)), is(expected));
        }
    }

    private int urgency(RequestPlan plan) {
        return plan.urgency(plan.rank(awareness, 0)).orElseThrow();
    }

    private void configure(int longPriority) {
        awareness.configure(
                new GatewayPublication(
                        1,
                        List.of(stream("short", 0), stream("long", longPriority)),
                        List.of(MODEL),
                        List.of(),
                        TrafficLimits.DEFAULT));
    }

    private static RouteSpec stream(String name, int priority) {
        return new RouteSpec(
                name,
                "h",
                "/" + name + "/",
                RouteKind.EVENT_STREAM,
                6_000,
                500,
                300,
                priority,
                List.of(new ServiceShare("model", 1)),
                1,
                false,
                true,
                false,
                Set.of());
    }

    private static RequestPlan plan(RouteSpec route, OptionalInt customerPriority) {
        RequestEnvelope envelope =
                new RequestEnvelope(
                        "id-1",
                        "h",
                        Optional.empty(),
                        OptionalLong.empty(),
                        Optional.empty(),
                        OptionalLong.empty(),
                        OptionalLong.empty(),
                        List.of());
        CustomerSpec customer =
                new CustomerSpec("c", Set.of("k"), customerPriority, 1, 0, 0, Set.of());
        return new RequestPlan(
                envelope,
                "POST",
                "/a",
                Buffer.buffer(),
                route,
                MODEL,
                Optional.of(customer),
                0,
                6_000,
                false);
    }
}
