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
 * @param callers where callers connect
 * @param peers where other VMs connect
 * @param operators where operators connect
 * @param platform the platform's configuration service
 * @param seedPeers VMs to ask for the configuration while the platform can't be read
 * @param operatorKey digest of the operators' key
 * @param sharePolicy how VMs share rates
 * @param upstreamPolicy name of the way to choose upstreams
 * @param spill when work leaves the region although its upstreams take it
 * @param limits sizes and counts
 * @param timeouts waiting times
 * @param timing times of the limit protocol
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
     * Sizes and counts. Immutable.
     *
     * @param trafficThreads event loops for traffic
     * @param maxHeaderBytes largest request head in bytes
     * @param maxBodyBytes largest request body in bytes
     * @param maxFrameBytes largest frame of a peer in bytes
     * @param maxRunning requests that run at the same time
     * @param maxQueue requests that wait for a free place
     * @param maxAttempts runs of a request, retries included
     * @param timelineEvents events kept in memory
     */
    public record Limits(
            int trafficThreads,
            int maxHeaderBytes,
            int maxBodyBytes,
            int maxFrameBytes,
            int maxRunning,
            int maxQueue,
            int maxAttempts,
            int timelineEvents) {}

    /**
     * Waiting times in milliseconds. Immutable.
     *
     * @param queueMillis longest wait for a free place
     * @param connectMillis longest wait for a connection
     * @param firstByteMillis longest wait for the head of an answer
     * @param idleMillis longest silence inside an answer
     * @param peerMillis longest wait for a peer's word
     * @param rateWaitMillis longest wait for tokens that are about to flow in
     * @param loadPollMillis time between two reads of an engine's load, 0 for none
     * @param drainMillis longest graceful shutdown
     */
    public record Timeouts(
            long queueMillis,
            long connectMillis,
            long firstByteMillis,
            long idleMillis,
            long peerMillis,
            long rateWaitMillis,
            long loadPollMillis,
            long drainMillis) {}
}
