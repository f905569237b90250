package io.vanillapoint.server.traffic;

import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.core.memory.BodyMemoryBudget;
import io.vanillapoint.core.retry.RetryBudget;
import io.vanillapoint.server.control.ControlPlane;
import io.vanillapoint.server.kernel.Kernel;
import io.vanillapoint.server.metric.GatewayMetrics;
import io.vanillapoint.server.settings.DaemonSettings;
import java.util.Set;

/**
 * State shared by the requests of one event loop. Immutable, but its clients, retry budget and
 * executions are confined to that loop.
 *
 * @param settings settings of the daemon
 * @param kernel plug-ins
 * @param control the control plane
 * @param events receives events
 * @param metrics counters and timers
 * @param upstreamClient client for upstreams
 * @param forwardClient client for VMs of other regions
 * @param retryBudget retry budget
 * @param executions requests running on this loop
 * @param bodies limit on the memory for the bodies of its requests
 */
record TrafficContext(
        DaemonSettings settings,
        Kernel kernel,
        ControlPlane control,
        EventSink events,
        GatewayMetrics metrics,
        UpstreamClient upstreamClient,
        ForwardClient forwardClient,
        RetryBudget retryBudget,
        Set<RequestExecution> executions,
        BodyMemoryBudget bodies) {}
