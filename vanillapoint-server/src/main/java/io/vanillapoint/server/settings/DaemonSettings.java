package io.vanillapoint.server.settings;

import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.KeyDigest;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.limit.LimitTiming;
import io.vanillapoint.core.limit.SharePolicy;
import io.vanillapoint.core.routing.SpillRule;
import java.util.List;

/**
 * Checked settings of the daemon. Immutable and safe for use by several threads.
 *
 * @param vm name of this VM
 * @param region its region
 * @param zone its availability zone
 * @param callers listen address for callers
 * @param peers listen address for other VMs
 * @param operators listen address for operators
 * @param platform address of the platform's configuration service
 * @param seedPeers VMs to ask for the configuration while the platform can't be read
 * @param operatorKey digest of the operator key
 * @param sharePolicy how VMs share rates
 * @param upstreamPolicy name of the policy that chooses upstreams
 * @param spill load above which work may leave the region while its upstreams still accept it
 * @param limits limits on sizes and counts
 * @param timeouts timeouts and intervals
 * @param timing intervals and leases of the rate limit protocol
 */
public record DaemonSettings(
        VmId vm,
        RegionId region,
        ZoneId zone,
        Endpoint callers,
        Endpoint peers,
        Endpoint operators,
        Endpoint platform,
        List<Endpoint> seedPeers,
        KeyDigest operatorKey,
        SharePolicy sharePolicy,
        String upstreamPolicy,
        SpillRule spill,
        Limits limits,
        Timeouts timeouts,
        LimitTiming timing) {
    /** Copies the seed peers. */
    public DaemonSettings {
        seedPeers = List.copyOf(seedPeers);
    }

    /**
     * Limits on sizes and counts. Immutable.
     *
     * @param trafficThreads number of event loops for traffic
     * @param maxHeaderBytes largest request head in bytes
     * @param maxConnections limit of open connections of callers
     * @param maxBodyBytes largest request body in bytes
     * @param maxFrameBytes largest frame from a peer in bytes
     * @param maxRunning limit of concurrently running requests
     * @param maxQueue limit of queued requests
     * @param maxAttempts largest number of attempts of a request, including retries
     * @param timelineEvents number of events kept in memory for the time line
     */
    public record Limits(
            int trafficThreads,
            int maxHeaderBytes,
            int maxConnections,
            int maxBodyBytes,
            int maxFrameBytes,
            int maxRunning,
            int maxQueue,
            int maxAttempts,
            int timelineEvents) {}

    /**
     * Timeouts and intervals in milliseconds. Immutable.
     *
     * @param queueMillis longest time that a request may be queued
     * @param connectMillis longest wait for a connection
     * @param firstByteMillis longest wait for the head of a response
     * @param headMillis longest time for a request head
     * @param callerIdleMillis time after which a caller's idle connection is closed
     * @param idleMillis longest pause between two parts of a response
     * @param peerMillis longest wait for a peer's reply
     * @param rateWaitMillis longest wait for a refill of tokens before a request is refused
     * @param loadPollMillis poll interval for the load of engines; 0 turns polling off
     * @param drainMillis longest graceful shutdown
     */
    public record Timeouts(
            long queueMillis,
            long connectMillis,
            long firstByteMillis,
            long headMillis,
            long callerIdleMillis,
            long idleMillis,
            long peerMillis,
            long rateWaitMillis,
            long loadPollMillis,
            long drainMillis) {}
}
