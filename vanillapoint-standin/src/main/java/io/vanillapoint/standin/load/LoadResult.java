package io.vanillapoint.standin.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Result of a load run, with the five measures that users evaluate. Confined to one thread, which
 * reads it after the run.
 */
final class LoadResult {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MAX_MILLIS = 600_000;
    private static final int DIGITS = 3;

    private final Histogram firstToken = new Histogram(MAX_MILLIS, DIGITS);
    private final Histogram whole = new Histogram(MAX_MILLIS, DIGITS);
    private final Map<String, Tally> customers = new TreeMap<>();
    private final Map<String, Integer> refusals = new TreeMap<>();
    private final List<String> samples = new ArrayList<>();
    private int sent;
    private int answered;
    private int cut;
    private int servedElsewhere;
    private double cost;

    void sent(String customer, boolean withinRate) {
        sent++;
        tally(customer).sent++;
        tally(customer).withinRate += withinRate ? 1 : 0;
    }

    void answered(Sample sample, double costOfTokens) {
        answered++;
        cost += costOfTokens;
        firstToken.recordValue(Math.min(MAX_MILLIS, sample.firstMillis()));
        whole.recordValue(Math.min(MAX_MILLIS, sample.wholeMillis()));
        Tally tally = tally(sample.customer());
        tally.answered++;
        tally.tokens += sample.tokens();
        if (!sample.ranIn().equals(sample.askedIn())) {
            servedElsewhere++;
        }
        samples.add(sample.csv());
    }

    void refused(String customer, String code) {
        refusals.merge(code, 1, Integer::sum);
        tally(customer).refused++;
    }

    void cut(String customer) {
        cut++;
        tally(customer).cut++;
    }

    List<String> samples() {
        return Collections.unmodifiableList(samples);
    }

    double tokens(String customer) {
        return tally(customer).tokens;
    }

    ObjectNode json(String profile) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("profile", profile);
        node.put("sent", sent);
        node.put("answered", answered);
        node.put("cut", cut);
        node.put("cost", cost);
        node.put("sent_away", answered == 0 ? 0 : servedElsewhere / (double) answered);
        node.put("wrongfully_refused", fraction(wrongfullyRefused(), sent));
        node.put("worst_customer_served", worstServedFraction());
        quantiles(node.putObject("first_token_ms"), firstToken);
        quantiles(node.putObject("whole_ms"), whole);
        ObjectNode codes = node.putObject("refusals");
        refusals.forEach(codes::put);
        ObjectNode each = node.putObject("customers");
        customers.forEach((name, tally) -> tally.write(each.putObject(name)));
        return node;
    }

    String table(String profile) {
        StringBuilder text = new StringBuilder();
        line(text, "profile", profile);
        line(text, "sent / answered / cut", sent + " / " + answered + " / " + cut);
        line(text, "cost", String.format(Locale.ROOT, "%.3f", cost));
        line(text, "first token p50/p95/p99 ms", quantiles(firstToken));
        line(text, "whole answer p50/p95/p99 ms", quantiles(whole));
        line(text, "share sent away", percent(fraction(servedElsewhere, answered)));
        line(text, "worst customer served", percent(worstServedFraction()));
        line(text, "refused within the rate", percent(fraction(wrongfullyRefused(), sent)));
        line(text, "refusals", refusals.toString());
        customers.forEach((name, tally) -> line(text, "  " + name, tally.toString()));
        return text.toString();
    }

    private int wrongfullyRefused() {
        return customers.values().stream().mapToInt(Tally::wrongfullyRefused).sum();
    }

    /**
     * Lowest served fraction among customers, of the requests that each customer's rate allowed.
     */
    private double worstServedFraction() {
        return customers.values().stream()
                .filter(tally -> tally.withinRate > 0)
                .mapToDouble(tally -> 1 - fraction(tally.wrongfullyRefused(), tally.withinRate))
                .min()
                .orElse(1);
    }

    private Tally tally(String customer) {
        return customers.computeIfAbsent(customer, name -> new Tally());
    }

    private static void quantiles(ObjectNode node, Histogram histogram) {
        node.put("p50", histogram.getValueAtPercentile(50));
        node.put("p95", histogram.getValueAtPercentile(95));
        node.put("p99", histogram.getValueAtPercentile(99));
    }

    private static String quantiles(Histogram histogram) {
        return histogram.getValueAtPercentile(50)
                + " / "
                + histogram.getValueAtPercentile(95)
                + " / "
                + histogram.getValueAtPercentile(99);
    }

    private static double fraction(int part, int all) {
        return all == 0 ? 0 : part / (double) all;
    }

    private static String percent(double fraction) {
        return String.format(Locale.ROOT, "%.2f %%", 100 * fraction);
    }

    private static void line(StringBuilder text, String name, String value) {
        text.append(String.format(Locale.ROOT, "%-30s %s%n", name, value));
    }

    /** Counts of one customer. */
    private static final class Tally {
        private int sent;
        private int answered;
        private int refused;
        private int withinRate;
        private int cut;
        private double tokens;

        /** Requests within the customer's rate that exceed the number of its answered requests. */
        private int wrongfullyRefused() {
            return Math.max(0, withinRate - answered);
        }

        private void write(ObjectNode node) {
            node.put("sent", sent);
            node.put("answered", answered);
            node.put("refused", refused);
            node.put("within_rate", withinRate);
            node.put("wrongfully_refused", wrongfullyRefused());
            node.put("cut", cut);
            node.put("tokens", tokens);
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "sent %d, the rate allowed %d, answered %d refused %d cut %d tokens %.0f",
                    sent,
                    withinRate,
                    answered,
                    refused,
                    cut,
                    tokens);
        }
    }
}
