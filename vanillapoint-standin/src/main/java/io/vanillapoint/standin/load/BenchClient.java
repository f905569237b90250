package io.vanillapoint.standin.load;

import io.vanillapoint.api.model.Endpoint;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.kohsuke.args4j.Option;

/**
 * Sends a fixed number of chat requests at a fixed concurrency to one address, an engine or a VM,
 * to compare the latency through a VM with that of a direct call. Confined to one event loop.
 */
public final class BenchClient {
    private static final long MAX_MICROS = 60_000_000;

    private final Options options;
    private final HttpClient client;
    private final Endpoint address;
    private final Histogram firstPart = new Histogram(MAX_MICROS, 3);
    private final Histogram whole = new Histogram(MAX_MICROS, 3);
    private int sent;
    private int completed;
    private int failed;

    private BenchClient(Vertx vertx, Options options) {
        this.options = options;
        this.address = Endpoint.parse(options.address);
        this.client =
                vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(options.concurrency));
    }

    /**
     * Runs the requests, prints a summary line and ends the process.
     *
     * @param options flags
     */
    public static void run(Options options) {
        Vertx vertx = Vertx.vertx();
        vertx.runOnContext(
                ignored -> {
                    BenchClient bench = new BenchClient(vertx, options);
                    for (int i = 0; i < options.concurrency; i++) {
                        bench.sendNext();
                    }
                });
    }

    private void sendNext() {
        if (sent >= options.requests) {
            if (completed == options.requests) {
                report();
            }
            return;
        }
        sent++;
        long start = System.nanoTime();
        long[] firstAt = {0};
        RequestOptions call =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(address.host())
                        .setPort(address.port())
                        .setURI("/v1/chat/completions")
                        .putHeader("content-type", "application/json")
                        .putHeader("authorization", "Bearer " + options.key);
        client.request(call)
                .compose(request -> request.send(Buffer.buffer(body())))
                .onSuccess(
                        response -> {
                            response.handler(
                                    part -> {
                                        if (firstAt[0] == 0) {
                                            firstAt[0] = System.nanoTime();
                                        }
                                    });
                            response.endHandler(
                                    ignored -> complete(start, firstAt[0], response.statusCode()));
                        })
                .onFailure(error -> complete(start, 0, 0));
    }

    private void complete(long start, long firstAt, int status) {
        completed++;
        if (status == 200) {
            firstPart.recordValue(micros(firstAt - start));
            whole.recordValue(micros(System.nanoTime() - start));
        } else {
            failed++;
        }
        sendNext();
    }

    private String body() {
        return "{\"model\":\"case-summary\",\"stream\":true,\"max_tokens\":"
                + options.tokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"question "
                + sent
                + "\"}]}";
    }

    private void report() {
        System.out.printf(
                "%s first p50/p95 %.2f/%.2f ms, whole p50/p95 %.2f/%.2f ms, failed %d of %d%n",
                options.address,
                millis(firstPart, 50),
                millis(firstPart, 95),
                millis(whole, 50),
                millis(whole, 95),
                failed,
                completed);
        System.exit(0);
    }

    private static long micros(long nanos) {
        return Math.min(MAX_MICROS, TimeUnit.NANOSECONDS.toMicros(Math.max(0, nanos)));
    }

    private static double millis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / 1_000.0;
    }

    /** Flags. Filled by args4j. */
    public static final class Options {
        @Option(name = "--address", required = true, usage = "IP:PORT of an engine or a VM")
        private String address = "";

        @Option(name = "--key", usage = "API key")
        private String key = "";

        @Option(name = "--requests", usage = "number of requests")
        private int requests = 1_000;

        @Option(name = "--concurrency", usage = "concurrent requests")
        private int concurrency = 8;

        @Option(name = "--tokens", usage = "maximum tokens of each answer")
        private int tokens = 16;
    }
}
