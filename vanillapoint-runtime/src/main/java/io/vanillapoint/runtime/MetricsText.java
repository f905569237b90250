package io.vanillapoint.runtime;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Formats metrics as JSON and in the Prometheus text format. Stateless. */
public final class MetricsText {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    private MetricsText() {}

    /**
     * Formats metrics as one JSON object.
     *
     * @param metrics metrics to format
     * @return counters, meters and gauges as numbers; timers as objects with a count and quantiles
     *     in milliseconds
     */
    public static ObjectNode json(MetricRegistry metrics) {
        ObjectNode root = MAPPER.createObjectNode();
        metrics.getCounters().forEach((name, counter) -> root.put(name, counter.getCount()));
        metrics.getMeters().forEach((name, meter) -> root.put(name, meter.getCount()));
        metrics.getGauges()
                .forEach((name, gauge) -> root.put(name, numericValue(gauge.getValue())));
        metrics.getTimers().forEach((name, timer) -> putTimer(root.putObject(name), timer));
        return root;
    }

    /**
     * Formats metrics in the Prometheus text exposition format.
     *
     * @param metrics metrics to format
     * @return the text, with timers as summaries in seconds
     */
    public static String prometheus(MetricRegistry metrics) {
        StringBuilder text = new StringBuilder();
        metrics.getCounters()
                .forEach((name, counter) -> appendValue(text, name, "counter", counter.getCount()));
        metrics.getMeters()
                .forEach((name, meter) -> appendValue(text, name, "counter", meter.getCount()));
        metrics.getGauges()
                .forEach(
                        (name, gauge) ->
                                appendValue(text, name, "gauge", numericValue(gauge.getValue())));
        metrics.getTimers().forEach((name, timer) -> appendSummary(text, name, timer));
        return text.toString();
    }

    private static void putTimer(ObjectNode node, Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        node.put("count", timer.getCount());
        for (double quantile : QUANTILES) {
            String name = "p" + Math.round(quantile * 100) + "_ms";
            node.put(name, toMillis(snapshot.getValue(quantile)));
        }
    }

    private static void appendSummary(StringBuilder text, String name, Timer timer) {
        String metric = metricName(name) + "_seconds";
        text.append("# TYPE ").append(metric).append(" summary\n");
        Snapshot snapshot = timer.getSnapshot();
        for (double quantile : QUANTILES) {
            double seconds = toMillis(snapshot.getValue(quantile)) / 1_000;
            text.append(metric).append("{quantile=\"").append(quantile).append("\"} ");
            text.append(seconds).append('\n');
        }
        text.append(metric).append("_count ").append(timer.getCount()).append('\n');
    }

    private static void appendValue(StringBuilder text, String name, String type, Object value) {
        String metric = metricName(name);
        text.append("# TYPE ").append(metric).append(' ').append(type).append('\n');
        text.append(metric).append(' ').append(value).append('\n');
    }

    private static String metricName(String name) {
        return "vanillapoint_" + name.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9]", "_");
    }

    private static double numericValue(Object value) {
        return value instanceof Number number ? number.doubleValue() : 0;
    }

    private static double toMillis(double nanos) {
        return nanos / TimeUnit.MILLISECONDS.toNanos(1);
    }
}
