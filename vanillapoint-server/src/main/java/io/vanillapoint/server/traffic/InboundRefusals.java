package io.vanillapoint.server.traffic;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.http.InboundConnections;
import io.vanillapoint.http.InboundLimits;
import io.vanillapoint.http.InboundListener;
import io.vanillapoint.http.InboundPort;
import io.vanillapoint.http.RequestRefusal;
import io.vanillapoint.server.MonotonicTime;
import io.vanillapoint.server.metric.GatewayMetrics;
import io.vanillapoint.server.settings.DaemonSettings;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerOptions;
import java.time.Duration;

/**
 * Limits of the daemon's HTTP listeners, and the errors of requests that are refused unread. Safe
 * for use by several threads.
 */
public final class InboundRefusals implements InboundListener {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final long SWEEP_MILLIS = 1_000;

    /** Descriptors of the process that are left for files. */
    private static final int FILE_DESCRIPTORS = 200;

    /** Part of the heap for the heads of requests. */
    private static final int HEAD_MEMORY_DIVISOR = 8;

    /** Longest request line of the HTTP library, beyond that of the connections. */
    private static final int LIBRARY_LINE_BYTES = 8 * 1_024;

    private final DaemonSettings settings;
    private final GatewayMetrics metrics;

    private InboundRefusals(DaemonSettings settings, GatewayMetrics metrics) {
        this.settings = settings;
        this.metrics = metrics;
    }

    /**
     * Creates the port of one listener with connections of its own. Called on its event loop.
     *
     * @param vertx runs the check of time limits
     * @param settings settings of the daemon
     * @param metrics counts refusals
     * @param name name of the port for metrics
     * @param part part of the callers' limit of connections that the port has, as a divisor
     * @param loops number of event loops that share this part
     * @return the port
     */
    public static InboundPort port(
            Vertx vertx,
            DaemonSettings settings,
            GatewayMetrics metrics,
            String name,
            int part,
            int loops) {
        // Each traffic thread and the operators' listener have a part of their own.
        int parts = HEAD_MEMORY_DIVISOR * (settings.limits().trafficThreads() + 1);
        InboundLimits limits =
                new InboundLimits(
                        settings.limits().maxHeaderBytes(),
                        settings.timeouts().headMillis(),
                        settings.timeouts().callerIdleMillis());
        InboundConnections inbound =
                new InboundConnections(
                        Runtime.getRuntime().maxMemory() / parts,
                        () -> limits,
                        new InboundRefusals(settings, metrics));
        vertx.setPeriodic(SWEEP_MILLIS, ignored -> inbound.sweep(MonotonicTime.millis()));
        int connections = Math.max(1, maxConnections(settings) / part / loops);
        return inbound.port(name, connections, loops, InboundPort.Idle.CLOSED);
    }

    /**
     * Limit of open connections of callers: as set, and half of what the process can open at most,
     * since each request may need a connection to an upstream.
     *
     * @param settings settings of the daemon
     * @return number of connections
     */
    public static int maxConnections(DaemonSettings settings) {
        long sockets = GatewayMetrics.maxDescriptors() - FILE_DESCRIPTORS;
        return (int) Math.max(1, Math.min(settings.limits().maxConnections(), sockets / 2));
    }

    /**
     * Options of an HTTP listener. HTTP/2 is disabled, since its streams would pass the limits of
     * connections.
     *
     * @param settings settings of the daemon
     * @return options without an address
     */
    public static HttpServerOptions options(DaemonSettings settings) {
        return new HttpServerOptions()
                .setMaxHeaderSize(2 * settings.limits().maxHeaderBytes())
                .setMaxInitialLineLength(LIBRARY_LINE_BYTES)
                .setHttp2ClearTextEnabled(false)
                .setTcpNoDelay(true);
    }

    @Override
    public String body(RequestRefusal refusal) {
        return ErrorBody.of(error(refusal)).toString();
    }

    @Override
    public String retryAfter() {
        return String.valueOf(ErrorBody.retryAfterSeconds(RETRY_AFTER));
    }

    @Override
    public void refused(String port, RequestRefusal refusal) {
        metrics.refused(error(refusal).code());
        metrics.unreadRefused(port, refusal.reason());
    }

    @Override
    public void closed(String port, String reason) {
        metrics.connectionClosed(port, reason);
    }

    private VanillapointException error(RequestRefusal refusal) {
        return switch (refusal) {
            case NO_MEMORY ->
                    VanillapointException.refusal(
                            ErrorCode.OVERLOADED,
                            "the heads of other requests take the memory",
                            RETRY_AFTER);
            case HEAD_TOO_LARGE ->
                    new VanillapointException(
                            ErrorCode.HEADERS_TOO_LARGE,
                            "headers",
                            "expected at most " + settings.limits().maxHeaderBytes() + " bytes");
            case MALFORMED_BODY, BODY_TOO_SLOW ->
                    new VanillapointException(ErrorCode.BAD_REQUEST, "body", refusal.reason());
            default ->
                    new VanillapointException(ErrorCode.BAD_REQUEST, "headers", refusal.reason());
        };
    }
}
