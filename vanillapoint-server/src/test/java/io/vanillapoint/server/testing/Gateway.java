package io.vanillapoint.server.testing;

import io.vanillapoint.api.event.Event;
import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.model.KeyDigest;
import io.vanillapoint.server.Daemon;
import io.vanillapoint.server.settings.DaemonSettings;
import io.vanillapoint.server.settings.SettingsReader;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs daemons in this process on real sockets, with a fake platform and upstreams that the test
 * scripts. Add upstreams and VMs, then call {@link #start()}. Used by one thread in one test.
 */
public final class Gateway implements AutoCloseable {
    /** API key of the default customer. */
    public static final String KEY = "the-callers-own-secret-key";

    private static final String CATALOG =
            "{\"models\":[{\"name\":\"m\",\"maxOutputTokens\":100}],\"services\":["
                    + "{\"name\":\"publish\",\"idempotent\":\"never\",\"tokensPerCall\":10},"
                    + "{\"name\":\"read\",\"idempotent\":\"always\"},"
                    + "{\"name\":\"open\",\"openToAll\":true}]}";

    private final Vertx vertx = Vertx.vertx();
    private final AtomicInteger responsesStarted = new AtomicInteger();
    private final HttpClient client =
            vertx.createHttpClient(
                    new HttpClientOptions().setKeepAlive(false),
                    new PoolOptions().setHttp1MaxSize(500));
    private final FakePlatform platform = new FakePlatform(vertx);
    private final Map<String, VmPorts> ports = new LinkedHashMap<>();
    private final Map<String, Daemon> daemons = new LinkedHashMap<>();
    private final List<String> upstreams = new ArrayList<>();
    private final List<String> extraFlags = new ArrayList<>();
    private String customers = customer("c", KEY, "\"a\":1", 10_000, 100_000);

    /** JSON of one customer in a published value. */
    public static String customer(
            String name, String key, String regions, double rate, double burst) {
        return ("{\"name\":\"%s\",\"keys\":[\"%s\"],\"models\":[\"m\"],"
                        + "\"services\":[\"publish\",\"read\"],\"regions\":{%s},"
                        + "\"rate\":%s,\"burst\":%s}")
                .formatted(name, KeyDigest.of(key).hex(), regions, rate, burst);
    }

    /** Replaces all customers. */
    public Gateway customers(String... json) {
        customers = String.join(",", json);
        return this;
    }

    /** Adds flags for every daemon. */
    public Gateway flags(String... flags) {
        extraFlags.addAll(List.of(flags));
        return this;
    }

    /** Adds a VM. */
    public Gateway vm(String name, String region) {
        ports.put(
                name,
                new VmPorts(
                        region,
                        Await.freePort(),
                        Await.freePort(),
                        Await.freePort(),
                        platform.openPort()));
        return this;
    }

    /** Adds an HTTP upstream and returns its port. */
    public int upstream(
            String name, String kind, String serves, Handler<HttpServerRequest> handler) {
        int port = Await.freePort();
        Await.result(vertx.createHttpServer().requestHandler(handler).listen(port, Await.HOST));
        return listUpstream(name, kind, serves, port);
    }

    /** Adds an upstream whose raw connections the test handles, and returns its port. */
    public int rawUpstream(String name, String kind, String serves, Handler<NetSocket> handler) {
        int port = Await.freePort();
        Await.result(vertx.createNetServer().connectHandler(handler).listen(port, Await.HOST));
        return listUpstream(name, kind, serves, port);
    }

    /** Lists an upstream on a port. Its region is the part of the name before the first dash. */
    public int listUpstream(String name, String kind, String serves, int port) {
        String region = name.substring(0, name.indexOf('-'));
        upstreams.add(
                ("{\"name\":\"%s\",\"kind\":\"%s\",\"region\":\"%s\",\"zone\":\"%s\","
                                + "\"address\":\"127.0.0.1:%d\",\"serves\":[\"%s\"],\"capacity\":8}")
                        .formatted(name, kind, region, region, port, serves));
        return port;
    }

    /** Publishes all values, starts all VMs and waits until their base shares are active. */
    public Gateway start() {
        publishAll();
        ports.keySet().forEach(this::startVm);
        ports.keySet().forEach(this::awaitShare);
        return this;
    }

    /** Publishes the catalog, customers, VMs and upstreams. */
    public void publishAll() {
        platform.publish("declarations/catalog", CATALOG);
        platform.publish("declarations/customers-00", "{\"customers\":[" + customers + "]}");
        platform.publish("platform/vms", vmList());
        platform.publish(
                "platform/upstreams", "{\"upstreams\":[" + String.join(",", upstreams) + "]}");
    }

    /** Starts one VM without waiting for its base share. */
    public void startVm(String name) {
        Daemon daemon = new Daemon(settings(name));
        daemons.put(name, daemon);
        Await.result(daemon.start());
    }

    /** Waits until a VM's base share is active. */
    public void awaitShare(String name) {
        Await.until(
                name + " has an active base share",
                () -> Await.result(daemons.get(name).status()).shareActive());
    }

    /** Fails all later reads of the platform by one VM. */
    public void cutFromPlatform(String vm) {
        platform.failReads(ports.get(vm).platform);
    }

    /** Stops one VM immediately, aborting its running requests. */
    public void killVm(String name) {
        Await.result(daemons.remove(name).close());
    }

    public Daemon daemon(String name) {
        return daemons.get(name);
    }

    public FakePlatform platform() {
        return platform;
    }

    public Vertx vertx() {
        return vertx;
    }

    /** Port of a VM for callers. */
    public int callers(String vm) {
        return ports.get(vm).callers;
    }

    /** Port of a VM for peers. */
    public int peers(String vm) {
        return ports.get(vm).peers;
    }

    /** Port of a VM for operators. */
    public int operators(String vm) {
        return ports.get(vm).operators;
    }

    /** Sends a request with the default API key and waits for the response. */
    public CallerResponse call(
            String vm, String method, String uri, String body, String... headers) {
        return Await.result(callAsync(vm, method, uri, body, headers));
    }

    /** Sends a request with the default API key unless the headers contain another. */
    public Future<CallerResponse> callAsync(
            String vm, String method, String uri, String body, String... headers) {
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.valueOf(method))
                        .setHost(Await.HOST)
                        .setPort(callers(vm))
                        .setURI(uri)
                        .putHeader("authorization", "Bearer " + KEY);
        for (int i = 0; i < headers.length; i += 2) {
            options.putHeader(headers[i], headers[i + 1]);
        }
        return client.request(options)
                .compose(request -> send(request, body))
                .recover(error -> Future.succeededFuture(new CallerResponse(0, null, "", false)));
    }

    /** Number of responses whose head has reached a caller. */
    public int responsesStarted() {
        return responsesStarted.get();
    }

    /** Sends a chat request for model m and waits for the response. */
    public CallerResponse chat(String vm, int maxTokens, boolean stream) {
        return call(vm, "POST", "/v1/chat/completions", chatBody("hello", maxTokens, stream));
    }

    /** Body of a chat request for model m. */
    public static String chatBody(String prompt, int maxTokens, boolean stream) {
        return ("{\"model\":\"m\",\"stream\":%s,\"max_tokens\":%d,"
                        + "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}")
                .formatted(stream, maxTokens, prompt);
    }

    /** Events of all running VMs. */
    public List<Event> events() {
        List<Event> all = new ArrayList<>();
        daemons.values().forEach(daemon -> all.addAll(daemon.events()));
        return all;
    }

    @Override
    public void close() {
        boolean broken =
                events().stream().anyMatch(event -> event.code() == EventCode.INVARIANT_BROKEN);
        daemons.values().forEach(daemon -> Await.result(daemon.close()));
        Await.result(vertx.close());
        if (broken) {
            throw new AssertionError("a VM recorded a broken invariant");
        }
    }

    private Future<CallerResponse> send(HttpClientRequest request, String body) {
        Promise<CallerResponse> promise = Promise.promise();
        request.send(Buffer.buffer(body))
                .onSuccess(
                        response -> {
                            responsesStarted.incrementAndGet();
                            readResponse(response, promise);
                        })
                .onFailure(promise::tryFail);
        return promise.future();
    }

    private static void readResponse(HttpClientResponse response, Promise<CallerResponse> promise) {
        Buffer body = Buffer.buffer();
        response.handler(body::appendBuffer);
        response.endHandler(
                ignored ->
                        promise.tryComplete(
                                new CallerResponse(
                                        response.statusCode(),
                                        response.headers(),
                                        body.toString(),
                                        true)));
        response.exceptionHandler(
                error ->
                        promise.tryComplete(
                                new CallerResponse(
                                        response.statusCode(),
                                        response.headers(),
                                        body.toString(),
                                        false)));
    }

    private DaemonSettings settings(String name) {
        SettingsReader reader = new SettingsReader();
        return reader.read(flags(name), Map.of())
                .orElseThrow(() -> new AssertionError(reader.findings().toString()));
    }

    /** Flags of the daemon of a VM, for one that runs as a process. */
    List<String> flags(String name) {
        VmPorts vm = ports.get(name);
        List<String> flags =
                new ArrayList<>(
                        List.of(
                                "--vm=" + name,
                                "--region=" + vm.region,
                                "--zone=" + vm.region,
                                "--callers=127.0.0.1:" + vm.callers,
                                "--peers=127.0.0.1:" + vm.peers,
                                "--operators=127.0.0.1:" + vm.operators,
                                "--platform=127.0.0.1:" + vm.platform,
                                "--operator-key-sha256=" + KeyDigest.of("operator").hex(),
                                "--lease-ms=600",
                                "--heartbeat-ms=100",
                                "--list-lag-ms=50"));
        flags.addAll(extraFlags);
        return flags;
    }

    private String vmList() {
        StringJoiner list = new StringJoiner(",", "{\"vms\":[", "]}");
        ports.forEach(
                (name, vm) ->
                        list.add(
                                ("{\"name\":\"%s\",\"region\":\"%s\",\"zone\":\"%s\","
                                                + "\"callers\":\"127.0.0.1:%d\","
                                                + "\"peers\":\"127.0.0.1:%d\","
                                                + "\"operators\":\"127.0.0.1:%d\"}")
                                        .formatted(
                                                name,
                                                vm.region,
                                                vm.region,
                                                vm.callers,
                                                vm.peers,
                                                vm.operators)));
        return list.toString();
    }

    private record VmPorts(String region, int callers, int peers, int operators, int platform) {}
}
