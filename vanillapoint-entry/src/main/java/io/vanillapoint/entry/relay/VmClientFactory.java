package io.vanillapoint.entry.relay;

import io.vanillapoint.http.StrictHttpClient;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;

/** Creates the HTTP client with the pool of connections to other VMs. Stateless. */
public final class VmClientFactory {
    /**
     * A connection carries one response at a time. If the callers of one region are bound to
     * another region with a single ready VM, hundreds of long responses pass through that VM at
     * once.
     */
    private static final int MAX_CONNECTIONS_PER_VM = 1_000;

    /** Shorter than the time for which other VMs keep an idle connection open. */
    private static final int KEEP_ALIVE_SECONDS = 8;

    /** Allows for two round trips between regions, a lost packet and a busy VM. */
    private static final int CONNECT_TIMEOUT_MILLIS = 700;

    private VmClientFactory() {}

    /**
     * Creates a client.
     *
     * @param vertx event loop of the client
     * @param connectionHandler called with each new connection
     * @return the client
     */
    public static HttpClient create(Vertx vertx, Handler<HttpConnection> connectionHandler) {
        HttpClientOptions options =
                new HttpClientOptions()
                        .setTcpNoDelay(true)
                        .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        return StrictHttpClient.create(
                vertx,
                options,
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_VM),
                connectionHandler);
    }
}
