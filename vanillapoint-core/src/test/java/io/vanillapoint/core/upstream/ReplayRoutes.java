package io.vanillapoint.core.upstream;

import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceShare;
import java.util.List;
import java.util.Set;

/** Creates the routes of a replay. */
final class ReplayRoutes {
    private ReplayRoutes() {}

    static RouteSpec stream(String name, int targetMillis, int timeoutMillis, int priority) {
        return new RouteSpec(
                name,
                "h",
                "/" + name + "/",
                RouteKind.EVENT_STREAM,
                timeoutMillis,
                targetMillis,
                300,
                priority,
                List.of(new ServiceShare("model", 1)),
                1,
                false,
                true,
                false,
                Set.of());
    }
}
