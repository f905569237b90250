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
 * A checked request, ready to run. It contains no API key in plain text. Immutable.
 *
 * @param id request id in events
 * @param key digest of the caller's API key, or null on an open route or if another VM checked it
 * @param customer customer, or null on an open route
 * @param plan request to the upstream and its cost
 * @param method HTTP method
 * @param headers headers for the upstream
 * @param visitedPath VMs that the request has passed through, including this one
 * @param idempotencyKey idempotency key of a request that must not be repeated, or null
 */
record RunRequest(
        String id,
        KeyDigest key,
        Customer customer,
        RequestPlan plan,
        String method,
        List<HeaderField> headers,
        VisitedPath visitedPath,
        PresentedKey idempotencyKey) {
    /** Makes a defensive copy of the headers. */
    RunRequest {
        headers = List.copyOf(headers);
    }

    RouteTarget target() {
        return new RouteTarget(plan.kind(), plan.target());
    }
}
