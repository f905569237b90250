package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.core.published.EngineSpec;
import io.vanillapoint.core.published.GatewayPublication;
import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceShare;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.published.TrafficLimits;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Load-aware placement stays inactive for deployments that do not ask for it. */
class LoadAwarenessTest {
    private final LoadAwareness awareness = new LoadAwareness();

    @Test
    void adjacentPrioritiesDoNotActivateIt() {
        awareness.configure(publication(stream("long", 1), stream("short", 0)));

        assertThat(awareness.active(0), is(false));
    }

    @Test
    void routesThatMayBeDeferredActivateIt() {
        awareness.configure(publication(stream("long", 2), stream("short", 0)));

        assertThat(awareness.active(0), is(true));
        assertThat(awareness.deferrable(stream("long", 2), "model"), is(true));
        assertThat(awareness.deferrable(stream("short", 0), "model"), is(false));
    }

    @Test
    void requestsHaveARankOnlyWhileActive() {
        awareness.configure(publication(stream("long", 1), stream("short", 0)));
        RouteSpec route = stream("long", 1);

        assertThat(awareness.rank(route, "model", OptionalInt.of(1), 0), is(Optional.empty()));
        awareness.slowdownReported(0);
        assertThat(
                awareness.rank(route, "model", OptionalInt.of(1), 0),
                is(Optional.of(new EngineRank(5, true))));
        assertThat(
                awareness.rank(stream("short", 0), "model", OptionalInt.of(1), 0),
                is(Optional.of(new EngineRank(4, false))));
    }

    @Test
    void onlyEventStreamsOfEnginesHaveARank() {
        RouteSpec booking = route("booking", RouteKind.AT_MOST_ONCE, 2, "bookings");
        awareness.configure(publication(stream("long", 2), stream("short", 0), booking));

        assertThat(
                awareness.rank(booking, "bookings", OptionalInt.empty(), 0), is(Optional.empty()));
    }

    @Test
    void plainRoutesDoNotActivateIt() {
        awareness.configure(
                publication(
                        stream("short", 0),
                        route("booking", RouteKind.AT_MOST_ONCE, 2, "bookings")));

        assertThat(awareness.active(0), is(false));
    }

    @Test
    void reportedSlowdownActivatesItForSomeSeconds() {
        awareness.slowdownReported(1_000);

        assertThat(awareness.active(10_999), is(true));
        assertThat(awareness.active(11_000), is(false));
    }

    private static RouteSpec stream(String name, int priority) {
        return route(name, RouteKind.EVENT_STREAM, priority, "model");
    }

    private static RouteSpec route(String name, RouteKind kind, int priority, String service) {
        return new RouteSpec(
                name,
                "host",
                "/" + name + "/",
                kind,
                5_000,
                500,
                300,
                priority,
                List.of(new ServiceShare(service, 1)),
                2,
                false,
                true,
                false,
                Set.of());
    }

    private static GatewayPublication publication(RouteSpec... routes) {
        return new GatewayPublication(
                1,
                List.of(routes),
                List.of(
                        new ServiceSpec(
                                "model",
                                100,
                                0,
                                0,
                                Optional.of(new EngineSpec(16, 200_000, false))),
                        new ServiceSpec("bookings", 100, 0, 0, Optional.empty())),
                List.of(),
                TrafficLimits.DEFAULT);
    }
}
