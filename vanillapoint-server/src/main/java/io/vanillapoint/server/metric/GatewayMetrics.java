package io.vanillapoint.server.metric;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.codahale.metrics.jvm.MemoryUsageGaugeSet;
import com.sun.management.OperatingSystemMXBean;
import com.sun.management.UnixOperatingSystemMXBean;
import io.vanillapoint.api.error.ErrorCode;
import java.lang.management.ManagementFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/** Metrics of one gateway process. Safe for use by several threads. */
public final class GatewayMetrics {
    private final MetricRegistry registry = new MetricRegistry();
    private final Timer timeToFirstByte = registry.timer("requests.first-byte");
    private final Timer responseTime = registry.timer("requests.whole");
    private final Counter retried = registry.counter("requests.retried");
    private final Counter forwarded = registry.counter("requests.forwarded");
    private final Counter bytesSent = registry.counter("peers.control.bytes-sent");
    private final Counter framesSent = registry.counter("peers.control.frames-sent");

    /** Creates the metrics of the gateway, its Java virtual machine and its CPU time. */
    public GatewayMetrics() {
        registry.register("memory", new MemoryUsageGaugeSet());
        registry.register("process.cpu-ms", (Gauge<Long>) GatewayMetrics::cpuMillis);
    }

    /**
     * Registry that holds all metrics.
     *
     * @return the registry
     */
    public MetricRegistry registry() {
        return registry;
    }

    /**
     * Registers a gauge.
     *
     * @param name name of the metric
     * @param value supplies the current value
     */
    public void gauge(String name, IntSupplier value) {
        registry.register(name, (Gauge<Integer>) value::getAsInt);
    }

    /**
     * Registers a gauge of type long.
     *
     * @param name name of the metric
     * @param value supplies the current value
     */
    public void longGauge(String name, LongSupplier value) {
        registry.register(name, (Gauge<Long>) value::getAsLong);
    }

    /**
     * Records the time to the head of a response.
     *
     * @param nanos time since the request arrived, in nanoseconds
     */
    public void recordTimeToFirstByte(long nanos) {
        timeToFirstByte.update(nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Records the time to the end of a response.
     *
     * @param nanos time since the request arrived, in nanoseconds
     */
    public void recordResponseTime(long nanos) {
        responseTime.update(nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Counts a refusal.
     *
     * @param code reason of the refusal
     */
    public void refused(ErrorCode code) {
        registry.counter("requests.refused." + code.code()).inc();
    }

    /**
     * Counts a request that was refused before it was read.
     *
     * @param port name of the port
     * @param reason short name of the reason
     */
    public void unreadRefused(String port, String reason) {
        registry.counter("requests.unread-refused." + port + "." + reason).inc();
    }

    /**
     * Counts a connection that was closed without a response.
     *
     * @param port name of the port
     * @param reason short name of the reason
     */
    public void connectionClosed(String port, String reason) {
        registry.counter("connections.closed." + port + "." + reason).inc();
    }

    /** Counts a retry. */
    public void retried() {
        retried.inc();
    }

    /** Counts a request forwarded to another region. */
    public void forwarded() {
        forwarded.inc();
    }

    /**
     * Counts a control message to another VM.
     *
     * @param bytes size of its frame in bytes
     */
    public void countControlFrame(long bytes) {
        framesSent.inc();
        bytesSent.inc(bytes);
    }

    /**
     * Files and sockets that the process can open.
     *
     * @return number of descriptors, {@link Integer#MAX_VALUE} if the system does not tell
     */
    public static long maxDescriptors() {
        if (ManagementFactory.getOperatingSystemMXBean()
                instanceof UnixOperatingSystemMXBean system) {
            return system.getMaxFileDescriptorCount();
        }
        return Integer.MAX_VALUE;
    }

    private static long cpuMillis() {
        if (ManagementFactory.getOperatingSystemMXBean() instanceof OperatingSystemMXBean system) {
            return TimeUnit.NANOSECONDS.toMillis(system.getProcessCpuTime());
        }
        return 0;
    }
}
