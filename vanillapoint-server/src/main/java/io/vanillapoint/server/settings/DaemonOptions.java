package io.vanillapoint.server.settings;

import org.kohsuke.args4j.Option;

/**
 * Unchecked values of the daemon's flags. Each flag is also an environment variable: {@code
 * --max-running} is {@code VANILLAPOINT_MAX_RUNNING}. A flag takes precedence over its variable.
 * Filled by args4j; checked by {@link SettingsReader}.
 */
final class DaemonOptions {
    @Option(name = "--vm", metaVar = "NAME", usage = "name of this VM in the platform's list")
    String vm = "";

    @Option(name = "--region", metaVar = "NAME", usage = "region of this VM")
    String region = "";

    @Option(name = "--zone", metaVar = "NAME", usage = "availability zone of this VM")
    String zone = "";

    @Option(name = "--callers", metaVar = "IP:PORT", usage = "listen address for callers")
    String callers = "";

    @Option(name = "--peers", metaVar = "IP:PORT", usage = "listen address for other VMs")
    String peers = "";

    @Option(name = "--operators", metaVar = "IP:PORT", usage = "listen address for operators")
    String operators = "";

    @Option(
            name = "--platform",
            metaVar = "IP:PORT",
            usage = "address of the platform's configuration service")
    String platform = "";

    @Option(
            name = "--seed-peers",
            metaVar = "IP:PORT,...",
            usage =
                    "VMs to ask for the configuration while the platform can't be read; may be empty")
    String seedPeers = "";

    @Option(
            name = "--operator-key-sha256",
            metaVar = "HEX",
            usage = "SHA-256 digest of the operator key")
    String operatorKeySha256 = "";

    @Option(
            name = "--share-policy",
            metaVar = "NAME",
            usage = "how VMs share rates: delegated, no-delegation or static-split")
    String sharePolicy = "delegated";

    @Option(
            name = "--upstream-policy",
            metaVar = "NAME",
            usage = "policy that chooses upstreams: a name that a plug-in registers")
    String upstreamPolicy = "prefix-affinity";

    @Option(
            name = "--spill-load",
            metaVar = "X",
            usage = "running requests per unit of capacity above which work may leave the region")
    String spillLoad = "1.5";

    @Option(
            name = "--away-penalty",
            metaVar = "X",
            usage = "load added to that of another region before it is compared with this region")
    String awayPenalty = "0.5";

    @Option(
            name = "--load-poll-ms",
            metaVar = "N",
            usage = "poll interval for the load of engines in milliseconds; 0 turns polling off")
    String loadPollMs = "1000";

    @Option(
            name = "--traffic-threads",
            metaVar = "N",
            usage = "number of event loops for traffic, 1 to 64")
    String trafficThreads = "2";

    @Option(name = "--max-header-bytes", metaVar = "N", usage = "largest request head in bytes")
    String maxHeaderBytes = "16384";

    @Option(
            name = "--head-timeout-ms",
            metaVar = "N",
            usage =
                    "longest time from the first byte of a request head to its last, in milliseconds")
    String headTimeoutMs = "10000";

    @Option(
            name = "--caller-idle-ms",
            metaVar = "N",
            usage =
                    "time in milliseconds after which a caller's connection without a request is closed")
    String callerIdleMs = "60000";

    @Option(
            name = "--max-connections",
            metaVar = "N",
            usage = "limit of open connections of callers; operators and peers have an eighth each")
    String maxConnections = "2048";

    @Option(name = "--max-body-bytes", metaVar = "N", usage = "largest request body in bytes")
    String maxBodyBytes = "4194304";

    @Option(name = "--max-frame-bytes", metaVar = "N", usage = "largest frame from a peer in bytes")
    String maxFrameBytes = "8388608";

    @Option(name = "--max-running", metaVar = "N", usage = "limit of concurrently running requests")
    String maxRunning = "256";

    @Option(name = "--max-queue", metaVar = "N", usage = "limit of queued requests")
    String maxQueue = "256";

    @Option(
            name = "--queue-timeout-ms",
            metaVar = "N",
            usage = "longest time that a request may be queued in milliseconds")
    String queueTimeoutMs = "2000";

    @Option(
            name = "--connect-timeout-ms",
            metaVar = "N",
            usage = "longest wait for a connection in milliseconds")
    String connectTimeoutMs = "1000";

    @Option(
            name = "--first-byte-timeout-ms",
            metaVar = "N",
            usage = "longest wait for the head of a response in milliseconds")
    String firstByteTimeoutMs = "10000";

    @Option(
            name = "--idle-timeout-ms",
            metaVar = "N",
            usage = "longest pause between two parts of a response in milliseconds")
    String idleTimeoutMs = "10000";

    @Option(
            name = "--peer-timeout-ms",
            metaVar = "N",
            usage = "longest wait for a peer's reply on tokens or keys in milliseconds")
    String peerTimeoutMs = "400";

    @Option(
            name = "--rate-wait-ms",
            metaVar = "N",
            usage = "longest wait for a token refill before a request is refused, in milliseconds")
    String rateWaitMs = "250";

    @Option(
            name = "--max-attempts",
            metaVar = "N",
            usage = "largest number of attempts of a request, including retries")
    String maxAttempts = "3";

    @Option(
            name = "--drain-timeout-s",
            metaVar = "N",
            usage = "longest graceful shutdown in seconds")
    String drainTimeoutS = "120";

    @Option(
            name = "--heartbeat-ms",
            metaVar = "N",
            usage = "time between heartbeats in milliseconds")
    String heartbeatMs = "500";

    @Option(
            name = "--lease-ms",
            metaVar = "N",
            usage = "duration of a lease in milliseconds; must be the same on all VMs")
    String leaseMs = "2000";

    @Option(
            name = "--list-lag-ms",
            metaVar = "N",
            usage = "largest lag of the platform's list of VMs in milliseconds")
    String listLagMs = "5000";

    @Option(
            name = "--timeline-events",
            metaVar = "N",
            usage = "number of events kept in memory for the time line")
    String timelineEvents = "10000";

    @Option(name = "--help", help = true, usage = "print this text and exit")
    boolean help;
}
