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
    /** Quantiles tell of the last minute, as long as on-call engineers look back at once. */
    private static final long WINDOW_MINUTES = 1;

    private final MetricRegistry registry = new MetricRegistry();

    /** By kind and outcome: a look-up by the whole name costs more than the measurement. */
    private final Map<String, Map<String, Timer>> ends = new ConcurrentHashMap<>();

    /**
     * Counts the end of a request.
     *
     * @param kind what may be repeated, as in the configuration
     * @param outcome how it ended
     * @param millis time since its head arrived
     */
    public void ended(String kind, String outcome, long millis) {
        ends.computeIfAbsent(kind, unused -> new ConcurrentHashMap<>())
                .computeIfAbsent(outcome, unused -> timer("request." + kind + "." + outcome))
                .update(millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Counts an event.
     *
     * @param name what happened
     */
    public void count(String name) {
        registry.counter(name).inc();
    }

    /**
     * Shows a number that is read when metrics are served.
     *
     * @param name its name
     * @param value reads it
     */
    public void gauge(String name, LongSupplier value) {
        Gauge<Long> gauge = value::getAsLong;
        registry.register(name, gauge);
    }

    /**
     * All metrics in the text format that scrapers read.
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
