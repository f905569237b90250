package io.vanillapoint.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.ChannelOption;
import io.vanillapoint.entry.relay.VmClientFactory;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Options read from live sockets; docs/PLATFORM.md lists them. */
class SocketOptionsTest {
    private static final long WAIT_SECONDS = 10;
    private static final int DEFAULT_LINGER = -1;

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void close() throws Exception {
        vertx.close().await(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void connectionWhoseOtherSideVanishesIsProbed() throws Exception {
        Map<ChannelOption<?>, Object> accepted = accepted(EntryListeners.serverOptions());
        assertThat(accepted.get(ChannelOption.SO_KEEPALIVE), is(true));
    }

    @Test
    void acceptedConnectionSendsAtOnceAndIsNeverResetByItsOwnClose() throws Exception {
        Map<ChannelOption<?>, Object> accepted = accepted(EntryListeners.serverOptions());
        assertThat(accepted.get(ChannelOption.TCP_NODELAY), is(true));
        assertThat(accepted.get(ChannelOption.SO_LINGER), is(DEFAULT_LINGER));
        assertThat(accepted.get(ChannelOption.ALLOW_HALF_CLOSURE), is(false));
        HttpServerOptions options = EntryListeners.serverOptions();
        assertThat(options.getIdleTimeout(), is(0));
        assertThat(options.getTcpUserTimeout(), is(0));
    }

    @Test
    void connectionToAReplicaSendsAtOnce() throws Exception {
        HttpClientOptions options = EntryNode.upstreamOptions();
        Promise<Map<ChannelOption<?>, Object>> opened = Promise.promise();
        HttpClient client =
                vertx.httpClientBuilder()
                        .with(options)
                        .withConnectHandler(connection -> opened.tryComplete(options(connection)))
                        .build();
        assertSendsAtOnce(client, opened);
        assertThat(options.isKeepAlive(), is(false));
        assertThat(options.getTcpUserTimeout(), is(0));
    }

    @Test
    void connectionToAnotherVmSendsAtOnce() throws Exception {
        Promise<Map<ChannelOption<?>, Object>> opened = Promise.promise();
        assertSendsAtOnce(
                VmClientFactory.create(
                        vertx, connection -> opened.tryComplete(options(connection))),
                opened);
    }

    private void assertSendsAtOnce(HttpClient client, Promise<Map<ChannelOption<?>, Object>> opened)
            throws Exception {
        int port = listen(EntryListeners.serverOptions(), Promise.promise());
        client.request(HttpMethod.GET, port, "127.0.0.1", "/")
                .compose(request -> request.send())
                .await(WAIT_SECONDS, TimeUnit.SECONDS);
        Map<ChannelOption<?>, Object> options =
                opened.future().await(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(options.get(ChannelOption.TCP_NODELAY), is(true));
        assertThat(options.get(ChannelOption.SO_KEEPALIVE), is(false));
    }

    private Map<ChannelOption<?>, Object> accepted(HttpServerOptions options) throws Exception {
        Promise<Map<ChannelOption<?>, Object>> accepted = Promise.promise();
        int port = listen(options, accepted);
        vertx.createHttpClient()
                .request(HttpMethod.GET, port, "127.0.0.1", "/")
                .compose(request -> request.send())
                .await(WAIT_SECONDS, TimeUnit.SECONDS);
        return accepted.future().await(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private int listen(HttpServerOptions options, Promise<Map<ChannelOption<?>, Object>> accepted)
            throws Exception {
        return vertx.createHttpServer(options)
                .connectionHandler(connection -> accepted.tryComplete(options(connection)))
                .requestHandler(request -> request.response().end())
                .listen(0, "127.0.0.1")
                .await(WAIT_SECONDS, TimeUnit.SECONDS)
                .actualPort();
    }

    private static Map<ChannelOption<?>, Object> options(HttpConnection connection) {
        return ((ConnectionBase) connection).channel().config().getOptions();
    }
}
