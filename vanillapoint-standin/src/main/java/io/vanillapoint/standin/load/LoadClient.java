package io.vanillapoint.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.standin.load.Profile.CustomerTraffic;
import io.vanillapoint.standin.load.Profile.RequestKind;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Open-loop load generator for a local fleet: requests arrive at random times (seeded), whether or
 * not earlier ones were answered, up to a limit of open requests. Callers ask a VM for the VMs to
 * use and fail over to the next one. Confined to one event loop.
 */
public final class LoadClient {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TICK_MILLIS = 5;
    private static final long REFRESH_MILLIS = 2_000;
    private static final long DRAIN_MILLIS = 15_000;
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final double PEAK_AMPLITUDE = 0.6;
    private static final int MAX_ATTEMPTS = 6;
    private static final int PUBLISH_TOKENS = 10;

    private final Vertx vertx;
    private final LoadOptions options;
    private final Profile profile;
    private final HttpClient client;
    private final Random random;
    private final LoadResult result = new LoadResult();
    private final Map<String, List<Entry>> entries = new HashMap<>();
    private final Map<String, TokenBucket> buckets = new HashMap<>();
    private final Map<String, Double> untilNextArrival = new HashMap<>();
    private final PublishOutcomes publishes = new PublishOutcomes();
    private long startMillis;
    private long lastTickMillis;
    private int openRequests;
    private long nextNumber;

    private LoadClient(Vertx vertx, LoadOptions options) {
        this.vertx = vertx;
        this.options = options;
        this.profile = Profile.read(Path.of(options.profile));
        this.random = new Random(options.seed);
        this.client =
                vertx.createHttpClient(
                        new HttpClientOptions().setConnectTimeout(1_000).setKeepAliveTimeout(2),
                        new PoolOptions().setHttp1MaxSize(options.maxOpen));
    }

    /**
     * Runs the load and ends the process.
     *
     * @param options flags
     */
    public static void run(LoadOptions options) {
        Vertx vertx = Vertx.vertx();
        vertx.runOnContext(ignored -> new LoadClient(vertx, options).start());
    }

    private void start() {
        startMillis = now();
        for (CustomerTraffic customer : profile.customers()) {
            buckets.put(
                    customer.name(),
                    new TokenBucket(customer.ratePerSecond(), customer.burst(), startMillis));
        }
        refresh()
                .onComplete(
                        ignored -> {
                            startMillis = now();
                            lastTickMillis = startMillis;
                            vertx.setPeriodic(TICK_MILLIS, this::tick);
                            vertx.setPeriodic(REFRESH_MILLIS, timer -> refresh());
                        });
    }

    private Future<Void> refresh() {
        List<Future<Void>> all = new ArrayList<>();
        for (CustomerTraffic customer : profile.customers()) {
            all.add(refresh(customer));
        }
        return Future.join(all).<Void>mapEmpty().otherwiseEmpty();
    }

    /** Asks a random known VM for the list of VMs to use. */
    private Future<Void> refresh(CustomerTraffic customer) {
        List<Entry> known = entries.getOrDefault(customer.name(), List.of());
        Endpoint asked =
                known.isEmpty()
                        ? Endpoint.parse(options.entry)
                        : known.get(random.nextInt(known.size())).address();
        return client.request(options(HttpMethod.GET, asked, "/entries", customer.key()))
                .compose(request -> request.send())
                .compose(HttpClientResponse::body)
                .timeout(1, TimeUnit.SECONDS)
                .map(
                        body -> {
                            readEntries(customer, body);
                            return null;
                        });
    }

    private void readEntries(CustomerTraffic customer, Buffer body) {
        List<Entry> read = new ArrayList<>();
        for (JsonNode node : json(body).path("entries")) {
            read.add(
                    new Entry(
                            node.path("region").asText(),
                            Endpoint.parse(node.path("address").asText())));
        }
        if (!read.isEmpty()) {
            entries.put(customer.name(), read);
        }
    }

    private void tick(long timer) {
        long now = now();
        double elapsedSeconds = (now - lastTickMillis) / 1_000.0;
        lastTickMillis = now;
        double progress = (now - startMillis) / (options.seconds * 1_000.0);
        if (progress >= 1) {
            if (openRequests == 0 || now - startMillis > options.seconds * 1_000L + DRAIN_MILLIS) {
                vertx.cancelTimer(timer);
                finish();
            }
            return;
        }
        for (CustomerTraffic customer : profile.customers()) {
            for (String region : customer.regions()) {
                sendArrivals(customer, region, progress, elapsedSeconds);
            }
        }
    }

    private void sendArrivals(
            CustomerTraffic customer, String region, double progress, double seconds) {
        double mean = customer.requestsPerSecond() * options.scale / customer.regions().size();
        double peakAt =
                profile.regions().stream()
                        .filter(each -> each.name().equals(region))
                        .mapToDouble(Profile.Region::peakAt)
                        .findFirst()
                        .orElse(0);
        double rate = mean * (1 + PEAK_AMPLITUDE * Math.cos(2 * Math.PI * (progress - peakAt)));
        String stream = customer.name() + "/" + region;
        double untilNext = untilNextArrival.getOrDefault(stream, nextGap()) - rate * seconds;
        while (untilNext <= 0) {
            untilNext += nextGap();
            if (openRequests < options.maxOpen) {
                send(customer, region);
            }
        }
        untilNextArrival.put(stream, untilNext);
    }

    private double nextGap() {
        return -Math.log(1 - random.nextDouble());
    }

    private void send(CustomerTraffic customer, String region) {
        RequestKind kind = pick(customer.kinds());
        openRequests++;
        Call call = new Call(customer, kind, region, nextNumber++);
        if (kind.publish()) {
            call.issueKey();
        } else {
            call.attempt();
        }
    }

    private RequestKind pick(List<RequestKind> kinds) {
        double sum = kinds.stream().mapToDouble(RequestKind::weight).sum();
        double left = random.nextDouble() * sum;
        for (RequestKind kind : kinds) {
            left -= kind.weight();
            if (left <= 0) {
                return kind;
            }
        }
        return kinds.get(kinds.size() - 1);
    }

    private void finish() {
        if (options.json) {
            System.out.println(result.json(profile.name()));
        } else {
            System.out.print(result.table(profile.name()));
        }
        writeCsv();
        boolean within = checkUsedTokens();
        boolean written = publishes.write(System.out);
        System.exit(within && written ? 0 : 1);
    }

    /** Checks that no customer used more tokens than burst + rate x time. */
    private boolean checkUsedTokens() {
        boolean within = true;
        double seconds = (now() - startMillis) / 1_000.0;
        for (CustomerTraffic customer : profile.customers()) {
            double allowedTokens = customer.burst() + customer.ratePerSecond() * seconds;
            double usedTokens = result.tokens(customer.name());
            if (usedTokens > allowedTokens) {
                within = false;
                System.out.printf(
                        "%s used %.0f tokens, but its rate and burst allow at most %.0f%n",
                        customer.name(), usedTokens, allowedTokens);
            }
        }
        return within;
    }

    private void writeCsv() {
        if (options.csv.isEmpty()) {
            return;
        }
        List<String> lines = new ArrayList<>(List.of(Sample.CSV_HEAD));
        lines.addAll(result.samples());
        try {
            Files.write(Path.of(options.csv), lines);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private double costOf(String region, double tokens) {
        return profile.regions().stream()
                .filter(each -> each.name().equals(region))
                .mapToDouble(each -> each.costPerThousandTokens() * tokens / 1_000)
                .findFirst()
                .orElse(0);
    }

    private static RequestOptions options(
            HttpMethod method, Endpoint address, String uri, String key) {
        return new RequestOptions()
                .setMethod(method)
                .setHost(address.host())
                .setPort(address.port())
                .setURI(uri)
                .putHeader("authorization", "Bearer " + key);
    }

    private static JsonNode json(Buffer body) {
        try {
            return MAPPER.readTree(body.getBytes());
        } catch (IOException e) {
            return MAPPER.createObjectNode();
        }
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** A VM with its region. */
    private record Entry(String region, Endpoint address) {}

    /** One request with its attempts. */
    private final class Call {
        private final CustomerTraffic customer;
        private final RequestKind kind;
        private final String region;
        private final String id;
        private final String body;
        private final double tokens;
        private final long sentMillis = now();
        private final boolean withinRate;
        private String idempotencyKey = "";
        private int attempts;
        private boolean mayHaveRun;

        private Call(CustomerTraffic customer, RequestKind kind, String region, long number) {
            this.customer = customer;
            this.kind = kind;
            this.region = region;
            this.id = customer.name() + "-" + options.seed + "-" + number;
            this.body = kind.publish() ? id : chat();
            this.tokens =
                    kind.publish()
                            ? PUBLISH_TOKENS
                            : kind.promptCharacters() / (double) CHARACTERS_PER_TOKEN
                                    + kind.maxTokens();
            this.withinRate = buckets.get(customer.name()).reserve(tokens, now());
            result.sent(customer.name(), withinRate);
        }

        private String chat() {
            int prefix = random.nextInt(Math.max(1, kind.prefixes()));
            String start = "Case file " + prefix + " of " + customer.name() + ". ";
            StringBuilder prompt = new StringBuilder();
            while (prompt.length() < kind.promptCharacters()) {
                prompt.append(start);
            }
            prompt.setLength(kind.promptCharacters());
            return MAPPER.createObjectNode()
                    .put("model", kind.model())
                    .put("stream", true)
                    .put("max_tokens", kind.maxTokens())
                    .<ObjectNode>set(
                            "messages",
                            MAPPER.createArrayNode()
                                    .add(
                                            MAPPER.createObjectNode()
                                                    .put("role", "user")
                                                    .put("content", prompt + id)))
                    .toString();
        }

        private void issueKey() {
            Entry entry = entry();
            client.request(
                            options(
                                    HttpMethod.POST,
                                    entry.address(),
                                    "/idempotency-keys",
                                    customer.key()))
                    .compose(request -> request.send())
                    .compose(HttpClientResponse::body)
                    .timeout(2, TimeUnit.SECONDS)
                    .onComplete(
                            done -> {
                                if (done.succeeded()) {
                                    idempotencyKey =
                                            json(done.result()).path("idempotency_key").asText();
                                }
                                if (idempotencyKey.isEmpty() && attempts++ < MAX_ATTEMPTS) {
                                    vertx.setTimer(100L * attempts, timer -> issueKey());
                                } else {
                                    attempt();
                                }
                            });
        }

        /** The VM for this attempt: those of the caller's region in list order, then the others. */
        private Entry entry() {
            List<Entry> known = entries.getOrDefault(customer.name(), List.of());
            List<Entry> ordered = new ArrayList<>();
            known.stream().filter(each -> each.region().equals(region)).forEach(ordered::add);
            known.stream().filter(each -> !ordered.contains(each)).forEach(ordered::add);
            if (ordered.isEmpty()) {
                return new Entry(region, Endpoint.parse(options.entry));
            }
            return ordered.get(attempts % ordered.size());
        }

        private void attempt() {
            Entry entry = entry();
            attempts++;
            String uri = kind.publish() ? "/services/publish/" + id : "/v1/chat/completions";
            RequestOptions call = options(HttpMethod.POST, entry.address(), uri, customer.key());
            if (!idempotencyKey.isEmpty()) {
                call.putHeader("idempotency-key", idempotencyKey);
            }
            client.request(call)
                    .onFailure(error -> retry(100))
                    .onSuccess(
                            request ->
                                    request.send(Buffer.buffer(body))
                                            .onSuccess(answer -> read(entry, answer))
                                            .onFailure(error -> connectionLost()));
        }

        private void read(Entry entry, HttpClientResponse response) {
            Buffer all = Buffer.buffer();
            long[] firstMillis = {-1};
            response.handler(
                    part -> {
                        if (firstMillis[0] < 0) {
                            firstMillis[0] = now() - sentMillis;
                        }
                        all.appendBuffer(part);
                    });
            response.exceptionHandler(error -> connectionLost());
            response.endHandler(
                    ignored -> {
                        if (response.statusCode() < 300) {
                            answered(entry, response, all, firstMillis[0]);
                        } else {
                            refused(all);
                        }
                    });
        }

        private void answered(Entry entry, HttpClientResponse response, Buffer all, long first) {
            String ranIn = String.valueOf(response.getHeader("x-ran-in-region"));
            double used = usedTokens(all);
            if (withinRate) {
                buckets.get(customer.name()).settle(tokens - used, now());
            }
            Sample sample =
                    new Sample(
                            sentMillis - startMillis,
                            customer.name(),
                            kind.name(),
                            entry.region(),
                            "null".equals(ranIn) ? entry.region() : ranIn,
                            first,
                            now() - sentMillis,
                            used);
            result.answered(sample, costOf(sample.ranIn(), used));
            if (kind.publish()) {
                publishes.answered(id);
            }
            openRequests--;
        }

        private double usedTokens(Buffer all) {
            if (kind.publish()) {
                return PUBLISH_TOKENS;
            }
            String text = all.toString();
            int at = text.lastIndexOf("\"total_tokens\":");
            if (at < 0) {
                return tokens;
            }
            String digits = text.substring(at + "\"total_tokens\":".length());
            return Double.parseDouble(digits.split("[^0-9]")[0]);
        }

        private void refused(Buffer all) {
            JsonNode error = json(all).path("error");
            String code = error.path("code").asText("none");
            boolean notRun = error.path("run").asText().equals("not_run");
            boolean retryable =
                    code.equals("shutting_down")
                            || code.equals("in_progress")
                            || code.equals("run_unknown")
                            || code.equals("not_ready")
                            || code.startsWith("upstream_");
            mayHaveRun |= !notRun;
            boolean safe = !kind.publish() || notRun || !idempotencyKey.isEmpty();
            if (retryable && safe && attempts < MAX_ATTEMPTS) {
                retry(error.path("retry_after_ms").asLong(200));
                return;
            }
            result.refused(customer.name(), code);
            if (kind.publish()) {
                publishes.ended(id, mayHaveRun);
            }
            openRequests--;
        }

        private void connectionLost() {
            mayHaveRun = true;
            if (kind.publish() && idempotencyKey.isEmpty()) {
                giveUp();
                return;
            }
            retry(200);
        }

        private void retry(long millis) {
            if (attempts >= MAX_ATTEMPTS) {
                giveUp();
                return;
            }
            vertx.setTimer(Math.min(Math.max(1, millis), 1_000), timer -> attempt());
        }

        private void giveUp() {
            result.cut(customer.name());
            if (kind.publish()) {
                publishes.ended(id, mayHaveRun);
            }
            openRequests--;
        }
    }
}
