package io.vanillapoint.server.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.server.testing.Await;
import io.vanillapoint.server.testing.Gateway;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a limit of connections that one of several event loops uses up for all. */
class ConnectionLimitTest {
    private static final int MAX_CONNECTIONS = 64;
    private static final int THREADS = 4;

    @Test
    void allThreadsTogetherServeAsManyConnectionsAsAreSet() throws Exception {
        try (Gateway gateway = new Gateway()) {
            gateway.flags("--max-connections=" + MAX_CONNECTIONS, "--traffic-threads=" + THREADS)
                    .vm("a-1", "a")
                    .start();
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < MAX_CONNECTIONS; i++) {
                Socket socket = new Socket(Await.HOST, gateway.callers("a-1"));
                sockets.add(socket);
                socket.setSoTimeout(5_000);
                socket.getOutputStream()
                        .write("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n".getBytes());
                assertThat("connection " + i, socket.getInputStream().read(), is((int) 'H'));
            }
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }
}
