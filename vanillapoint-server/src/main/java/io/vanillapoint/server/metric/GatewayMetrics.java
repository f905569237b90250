package io.vanillapoint.server.metric;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.codahale.metrics.jvm.MemoryUsageGaugeSet;
import com.sun.management.OperatingSystemMXBean;
import io.vanillapoint.api.error.ErrorCode;
import java.lang.management.ManagementFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/** Counts and times of one process. Safe for use by several threads. */
public final class GatewayMetrics {
    private final MetricRegistry registry = new MetricRegistry();
    private final Timer firstByte = registry.timer("requests.first-byte");
    private final Timer whole = registry.timer("requests.whole");
    private final Counter retried = registry.counter("requests.retried");
    private final Counter forwarded = registry.counter("requests.forwarded");
    private final Counter bytesSent = registry.counter("peers.control.bytes-sent");
    private final Counter framesSent = registry.counter("peers.control.frames-sent");

    /** Creates the metrics of the process and of its virtual machine. */
    public GatewayMetrics() {
        registry.register("memory", new MemoryUsageGaugeSet());
        registry.register("process.cpu-ms", (Gauge<Long>) GatewayMetrics::cpuMillis);
    }

    /**
     * All metrics, for the operators' listener.
     *
     * @return the registry
     */
    public MetricRegistry registry() {
        return registry;
    }

    /**
     * Adds a number that is read when it is asked for.
     *
     * @param name name of the metric
     * @param value reads it
     */
    public void gauge(String name, IntSupplier value) {
        registry.register(name, (Gauge<Integer>) value::getAsInt);
    }

    /**
     * Adds a large number that is read when it is asked for.
     *
     * @param name name of the metric
     * @param value reads it
     */
    public void longGauge(String name, LongSupplier value) {
        registry.register(name, (Gauge<Long>) value::getAsLong);
    }

    /**
     * Counts the head of an answer.
     *
     * @param nanos time since the request came
     */
    public void answerBegan(long nanos) {
        firstByte.update(nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Counts a whole answer.
     *
     * @param nanos time since the request came
     */
    public void answerEnded(long nanos) {
        whole.update(nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Counts a refusal.
     *
     * @param code why
     */
    public void refused(ErrorCode code) {
        registry.counter("requests.refused." + code.code()).inc();
    }

    /** Counts another attempt. */
    public void retried() {
        retried.inc();
    }

    /** Counts a request that goes to another region. */
    public void forwarded() {
        forwarded.inc();
    }

    /**
     * Counts a control message to another VM.
     *
     * @param bytes its size with the frame around it
     */
    public void controlSent(long bytes) {
        framesSent.inc();
        bytesSent.inc(bytes);
    }

    private static long cpuMillis() {
        if (ManagementFactory.getOperatingSystemMXBean() instanceof OperatingSystemMXBean system) {
            return TimeUnit.NANOSECONDS.toMillis(system.getProcessCpuTime());
        }
        return 0;
    }
}
