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

/** Choice of free ports for tests. */
class AwaitTest {
    private static final Path OUTGOING_PORTS = Path.of("/proc/sys/net/ipv4/ip_local_port_range");
    private static final int PORTS = 200;

    /**
     * Guards against a race in which an outgoing connection of another test took a chosen port
     * before the test listened on it. Chosen ports must lie below the kernel's ephemeral ports.
     */
    @Test
    void chosenPortsAreBelowTheEphemeralPortRange() throws IOException {
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
