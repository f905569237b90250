package io.vanillapoint.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.NetServer;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Connections that are accepted while the event loop that serves them is busy. */
class AcceptLimitTest {
    private static final String HOST = "127.0.0.1";
    private static final int CLIENTS = 200;
    private static final int MAX_CONNECTIONS = 25;

    /** What one read of the listening socket accepts, and those that wait for a place. */
    private static final int MARGIN = 32;

    private static final long WAIT_SECONDS = 30;
    private static final int LOCAL_ADDRESS = 1;
    private static final int STATE = 3;
    private static final int INODE = 9;
    private static final String ESTABLISHED = "01";
    private static final String NOT_ACCEPTED = "0";

    private final Vertx vertx = InboundTransport.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final List<Socket> clients = new ArrayList<>();
    private final CountDownLatch busy = new CountDownLatch(1);
    private final CountDownLatch served = new CountDownLatch(MAX_CONNECTIONS);

    @AfterEach
    void close() throws Exception {
        busy.countDown();
        for (Socket client : clients) {
            client.close();
        }
        vertx.close().await(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * Guards against descriptors that are taken before the first connection of a port is handled.
     */
    @Test
    void busyLoopDoesNotFindManyConnections() throws Exception {
        int port = listen();
        connect(port, CLIENTS);
        assertThat(settledConnections(port), is(lessThanOrEqualTo(MAX_CONNECTIONS + MARGIN)));
        busy.countDown();
        assertThat("the others are served", served.await(WAIT_SECONDS, TimeUnit.SECONDS), is(true));
        assertThat(settledConnections(port), is(lessThanOrEqualTo(MAX_CONNECTIONS + MARGIN)));
    }

    @Test
    void connectionsBeyondTheLimitAreServedAsOthersClose() throws Exception {
        int port = listen();
        busy.countDown();
        for (int i = 0; i < CLIENTS; i++) {
            connect(port, 1);
            clients.remove(0).close();
        }
        assertThat(served.await(WAIT_SECONDS, TimeUnit.SECONDS), is(true));
    }

    private int listen() throws Exception {
        NetServer server =
                vertx.createNetServer()
                        .connectHandler(
                                socket -> {
                                    AcceptLimit.install(socket, MAX_CONNECTIONS);
                                    served.countDown();
                                    awaitRelease();
                                });
        return server.listen(0, HOST).await(WAIT_SECONDS, TimeUnit.SECONDS).actualPort();
    }

    private void awaitRelease() {
        try {
            busy.await(WAIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void connect(int port, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            clients.add(new Socket(HOST, port));
        }
    }

    /** Number of accepted connections once it has stopped to change. */
    private static int settledConnections(int port) throws Exception {
        int before = -1;
        int now = connections(port);
        while (now != before) {
            TimeUnit.MILLISECONDS.sleep(200);
            before = now;
            now = connections(port);
        }
        return now;
    }

    /** Connections of a port that a process has accepted, as the kernel lists them. */
    private static int connections(int port) throws IOException {
        int count = 0;
        String localPort = ":%04X".formatted(port);
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            for (String line : Files.readAllLines(Path.of(table))) {
                String[] fields = line.strip().split("\\s+");
                boolean accepted =
                        fields[LOCAL_ADDRESS].endsWith(localPort)
                                && fields[STATE].equals(ESTABLISHED)
                                && !fields[INODE].equals(NOT_ACCEPTED);
                count += accepted ? 1 : 0;
            }
        }
        return count;
    }
}
