package io.vanillapoint.server.testing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Ports of tests. */
class AwaitTest {
    private static final Path OUTGOING_PORTS = Path.of("/proc/sys/net/ipv4/ip_local_port_range");
    private static final int PORTS = 200;

    /** A connection of another test once took a port between its choice and its use. */
    @Test
    void noOutgoingConnectionCanTakeAPortThatWasChosen() throws IOException {
        int firstOutgoing =
                Integer.parseInt(Files.readAllLines(OUTGOING_PORTS).get(0).split("\\s+")[0]);
        Set<Integer> ports = new HashSet<>();
        for (int i = 0; i < PORTS; i++) {
            int port = Await.freePort();
            assertThat(port, lessThan(firstOutgoing));
            ports.add(port);
        }
        assertThat(ports, hasSize(PORTS));
    }
}
