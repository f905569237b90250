package io.vanillapoint.server.traffic;

import io.vanillapoint.api.model.Customer;
import io.vanillapoint.api.model.KeyDigest;
import io.vanillapoint.api.plugin.RequestPlan;
import io.vanillapoint.core.message.HeaderField;
import io.vanillapoint.core.message.RouteTarget;
import io.vanillapoint.core.message.VisitedPath;
import io.vanillapoint.server.control.PresentedKey;
import java.util.List;

/**
 * A request that is to be run. It holds no key. Immutable.
 *
 * @param id name for events
 * @param key digest of the caller's key, or null on an open route or if another VM checked it
 * @param customer customer, or null on a route that is open to all
 * @param plan what it asks of an upstream
 * @param method HTTP method
 * @param headers headers for the upstream
 * @param path VMs visited, this one included
 * @param onceKey idempotency key of a request that may run only once, or null
 */
record RunRequest(
        String id,
        KeyDigest key,
        Customer customer,
        RequestPlan plan,
        String method,
        List<HeaderField> headers,
        VisitedPath path,
        PresentedKey onceKey) {
    /** Copies the headers. */
    RunRequest {
        headers = List.copyOf(headers);
    }

    RouteTarget target() {
        return new RouteTarget(plan.kind(), plan.target());
    }
}
