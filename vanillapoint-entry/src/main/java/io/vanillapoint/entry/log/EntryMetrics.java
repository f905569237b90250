package io.vanillapoint.entry.log;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Reservoir;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import com.codahale.metrics.Timer;
import io.vanillapoint.runtime.MetricsText;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Counters and latencies of an entry VM. Safe for use by several threads. */
public final class EntryMetrics {
    /** Quantiles cover the last minute, the span that on-call engineers look at. */
    private static final long WINDOW_MINUTES = 1;

    private final MetricRegistry registry = new MetricRegistry();

    /** By kind and outcome, since a look-up by full metric name costs more than the measurement. */
    private final Map<String, Map<String, Timer>> timers = new ConcurrentHashMap<>();

    /**
     * Records the latency of a finished request.
     *
     * @param kind whether the request may be repeated, as named in the configuration
     * @param outcome how the request ended
     * @param millis time since its head arrived, in milliseconds
     */
    public void recordRequest(String kind, String outcome, long millis) {
        timers.computeIfAbsent(kind, unused -> new ConcurrentHashMap<>())
                .computeIfAbsent(outcome, unused -> timer("request." + kind + "." + outcome))
                .update(millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Counts an event.
     *
     * @param name name of the counter
     */
    public void count(String name) {
        registry.counter(name).inc();
    }

    /**
     * Registers a gauge that is read when metrics are served.
     *
     * @param name name of the gauge
     * @param value supplies the value
     */
    public void gauge(String name, LongSupplier value) {
        Gauge<Long> gauge = value::getAsLong;
        registry.register(name, gauge);
    }

    /**
     * Renders all metrics in the Prometheus text format.
     *
     * @return lines of text
     */
    public String text() {
        return MetricsText.prometheus(registry);
    }

    private Timer timer(String name) {
        Reservoir lastMinute =
                new SlidingTimeWindowArrayReservoir(WINDOW_MINUTES, TimeUnit.MINUTES);
        return registry.register(name, new Timer(lastMinute));
    }
}
