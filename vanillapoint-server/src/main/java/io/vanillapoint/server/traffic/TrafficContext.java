package io.vanillapoint.server.traffic;

import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.core.retry.RetryBudget;
import io.vanillapoint.server.control.ControlPlane;
import io.vanillapoint.server.kernel.Kernel;
import io.vanillapoint.server.metric.GatewayMetrics;
import io.vanillapoint.server.settings.DaemonSettings;
import java.util.Set;

/**
 * What requests on one event loop share. Immutable, but what it holds is confined to that loop.
 *
 * @param settings settings of the daemon
 * @param kernel plug-ins
 * @param control the control plane
 * @param events where events are recorded
 * @param metrics counts and times
 * @param upstreams calls to upstreams
 * @param forwards calls to VMs of other regions
 * @param retries limits retries
 * @param executions requests that run on this loop
 */
record TrafficContext(
        DaemonSettings settings,
        Kernel kernel,
        ControlPlane control,
        EventSink events,
        GatewayMetrics metrics,
        UpstreamClient upstreams,
        ForwardClient forwards,
        RetryBudget retries,
        Set<RequestExecution> executions) {}
