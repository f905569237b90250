package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.VmRoster;
import io.vanillapoint.core.prompt.SessionLocations;
import io.vanillapoint.core.retry.RetryAllowance;
import io.vanillapoint.core.upstream.ReplicaChooser;
import io.vanillapoint.core.upstream.UpstreamPool;
import io.vanillapoint.entry.log.EntryMetrics;
import io.vanillapoint.entry.port.RequestFormat;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.util.function.LongSupplier;

/**
 * What requests share. Confined to one event loop.
 *
 * @param vertx timers
 * @param clock steady time in milliseconds
 * @param gate holds work back on a VM that is behind
 * @param log where decisions are recorded
 * @param metrics counters
 * @param format headers of the platform
 * @param fleet other VMs
 * @param roster names of all VMs, for rights that are shared out by rank
 * @param pool replicas
 * @param chooser chooses replicas
 * @param sessions which engines have read which sessions
 * @param retries this VM's part of the retries
 * @param memory memory for plain answers
 * @param upstreams opens a connection for each request
 * @param vms keeps connections to other VMs
 * @param peerPort port for other VMs
 */
public record EntryContext(
        Vertx vertx,
        LongSupplier clock,
        ReadGate gate,
        EventSink log,
        EntryMetrics metrics,
        RequestFormat format,
        FleetView fleet,
        VmRoster roster,
        UpstreamPool pool,
        ReplicaChooser chooser,
        SessionLocations sessions,
        RetryAllowance retries,
        AnswerMemory memory,
        HttpClient upstreams,
        HttpClient vms,
        int peerPort) {}
