package io.vanillapoint.http;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;

/**
 * Creates HTTP clients that fail a request whose response is malformed, unfinished or endless in a
 * part without content. Stateless.
 */
public final class StrictHttpClient {
    private StrictHttpClient() {}

    /**
     * Creates a client with the default options.
     *
     * @param vertx event loops of the client
     * @return the client
     */
    public static HttpClient create(Vertx vertx) {
        return create(vertx, new HttpClientOptions(), new PoolOptions(), connection -> {});
    }

    /**
     * Creates a client for servers that may send more than their share: what is read from one
     * connection in one turn of the event loop is bounded, so that large responses take many turns.
     *
     * @param vertx event loops of the client
     * @param options options of the connections, which use HTTP/1.1 without encryption
     * @param pool size of the pool
     * @param connectHandler called with each new connection
     * @return the client
     */
    public static HttpClient createWithBoundedReads(
            Vertx vertx,
            HttpClientOptions options,
            PoolOptions pool,
            Handler<HttpConnection> connectHandler) {
        return create(
                vertx,
                options,
                pool,
                connection -> {
                    ResponseGuard.boundReads(connection);
                    connectHandler.handle(connection);
                });
    }

    /**
     * Creates a client.
     *
     * @param vertx event loops of the client
     * @param options options of the connections, which use HTTP/1.1 without encryption
     * @param pool size of the pool
     * @param connectHandler called with each new connection
     * @return the client
     */
    public static HttpClient create(
            Vertx vertx,
            HttpClientOptions options,
            PoolOptions pool,
            Handler<HttpConnection> connectHandler) {
        return vertx.httpClientBuilder()
                .with(options)
                .with(pool)
                .withConnectHandler(
                        connection -> {
                            ResponseGuard.install(connection);
                            // The request fails with the same error, which Vert.x would log.
                            connection.exceptionHandler(error -> {});
                            connectHandler.handle(connection);
                        })
                .build();
    }
}
