package io.vanillapoint.entry.relay;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;

/** Makes the client of other VMs, which keeps connections. Stateless. */
public final class VmClient {
    /**
     * A connection carries one answer at a time, and a region whose callers are bound to another
     * one may have hundreds of long answers under way through the only VM that is ready there.
     */
    private static final int CONNECTIONS_PER_VM = 1_000;

    /** Shorter than other VMs keep an idle connection. */
    private static final int IDLE_SECONDS = 8;

    /** Two round trips between regions, a lost packet and a busy VM. */
    private static final int CONNECT_MILLIS = 700;

    private VmClient() {}

    /**
     * Makes a client.
     *
     * @param vertx event loop
     * @param connections hears of each connection
     * @return the client
     */
    public static HttpClient create(Vertx vertx, Handler<HttpConnection> connections) {
        HttpClientOptions options =
                new HttpClientOptions()
                        .setTcpNoDelay(true)
                        .setKeepAliveTimeout(IDLE_SECONDS)
                        .setConnectTimeout(CONNECT_MILLIS);
        return vertx.httpClientBuilder()
                .with(options)
                .with(new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_VM))
                .withConnectHandler(connections)
                .build();
    }
}
