package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.VmRoster;
import io.vanillapoint.core.prompt.SessionLocations;
import io.vanillapoint.core.retry.RetryAllowance;
import io.vanillapoint.core.upstream.ReplicaChooser;
import io.vanillapoint.core.upstream.UpstreamPool;
import io.vanillapoint.entry.log.EntryMetrics;
import io.vanillapoint.entry.log.UnexpectedErrors;
import io.vanillapoint.entry.port.RequestFormat;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.util.function.LongSupplier;

/**
 * Services shared by all requests. Confined to one event loop.
 *
 * @param vertx Vert.x instance, for timers
 * @param clock monotonic time in milliseconds
 * @param gate defers work while the event loop is behind
 * @param log decision log
 * @param metrics counters
 * @param format reads and writes the platform's headers
 * @param fleet view of the other VMs
 * @param roster names of all VMs, for permits that are divided by rank
 * @param pool replicas
 * @param chooser chooses replicas
 * @param sessions which engines have processed which sessions
 * @param retries this VM's part of the retry budget
 * @param prompts withholds prompts that crash engines
 * @param memory memory budget for buffered responses
 * @param upstreamClient HTTP client for replicas; opens a connection for each request
 * @param vmClient HTTP client for other VMs; pools its connections
 * @param peerPort port on which VMs accept relayed requests
 * @param configurationVersion version of the configuration in force, 0 if there is none
 */
public record EntryContext(
        Vertx vertx,
        LongSupplier clock,
        EventLoopGate gate,
        EventSink log,
        EntryMetrics metrics,
        RequestFormat format,
        FleetView fleet,
        VmRoster roster,
        UpstreamPool pool,
        ReplicaChooser chooser,
        SessionLocations sessions,
        RetryAllowance retries,
        PromptGuard prompts,
        ResponseMemoryBudget memory,
        HttpClient upstreamClient,
        HttpClient vmClient,
        int peerPort,
        LongSupplier configurationVersion) {
    /**
     * Boundary for unexpected errors.
     *
     * @return a boundary that records in the log and the metrics
     */
    public UnexpectedErrors errors() {
        return new UnexpectedErrors(log, metrics);
    }
}
