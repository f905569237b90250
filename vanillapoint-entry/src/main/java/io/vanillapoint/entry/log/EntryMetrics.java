package io.vanillapoint.entry.log;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vanillapoint.runtime.MetricsText;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Counters and latencies of an entry VM. Safe for use by several threads. */
public final class EntryMetrics {
    private final MetricRegistry registry = new MetricRegistry();

    /**
     * Counts the end of a request.
     *
     * @param kind what may be repeated, as in the configuration
     * @param outcome how it ended
     * @param millis time since its head arrived
     */
    public void ended(String kind, String outcome, long millis) {
        registry.timer("request." + kind + "." + outcome).update(millis, TimeUnit.MILLISECONDS);
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
}
