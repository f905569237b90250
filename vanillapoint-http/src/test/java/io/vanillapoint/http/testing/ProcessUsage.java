package io.vanillapoint.http.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Memory and sockets of another process of this machine, as the kernel counts them. Used by one
 * thread.
 */
public final class ProcessUsage {
    private static final Path PROC = Path.of("/proc");
    private static final long KILOBYTE = 1_024;
    private static final int LOCAL_ADDRESS = 1;
    private static final int QUEUES = 4;
    private static final int HEXADECIMAL = 16;

    private final long pid;
    private final Set<String> listeners;
    private long peakUnreadBytes;
    private long peakSockets;

    /**
     * Creates a reader that has not looked yet.
     *
     * @param pid id of the process
     * @param address IPv4 address of its listeners
     * @param ports ports of its listeners
     */
    public ProcessUsage(long pid, String address, int... ports) {
        this.pid = pid;
        listeners =
                Arrays.stream(ports)
                        .mapToObj(port -> hex(address) + ":" + "%04X".formatted(port))
                        .collect(Collectors.toSet());
    }

    /** Looks at what changes from moment to moment. */
    public void sample() {
        peakSockets = Math.max(peakSockets, sockets());
        peakUnreadBytes = Math.max(peakUnreadBytes, unreadBytes());
    }

    /** Largest resident memory so far and largest number of unread bytes in all samples. */
    public long peakBytes() {
        String line =
                lines(PROC.resolve(pid + "/status")).stream()
                        .filter(entry -> entry.startsWith("VmHWM:"))
                        .findFirst()
                        .orElseThrow();
        return Long.parseLong(line.replaceAll("\\D", "")) * KILOBYTE + peakUnreadBytes;
    }

    /** Largest number of open sockets in all samples. */
    public long peakSockets() {
        return peakSockets;
    }

    private long sockets() {
        try (Stream<Path> descriptors = Files.list(PROC.resolve(pid + "/fd"))) {
            return descriptors.filter(ProcessUsage::isSocket).count();
        } catch (IOException e) {
            throw new AssertionError("process " + pid + " has ended", e);
        }
    }

    private static boolean isSocket(Path descriptor) {
        try {
            return Files.readSymbolicLink(descriptor).toString().startsWith("socket:");
        } catch (IOException e) {
            // Closed since the listing.
            return false;
        }
    }

    private long unreadBytes() {
        return lines(PROC.resolve("net/tcp")).stream()
                .map(line -> line.strip().split("\\s+"))
                .filter(fields -> listeners.contains(fields[LOCAL_ADDRESS]))
                .mapToLong(
                        fields ->
                                Long.parseLong(
                                        fields[QUEUES].substring(fields[QUEUES].indexOf(':') + 1),
                                        HEXADECIMAL))
                .sum();
    }

    private static String hex(String address) {
        StringBuilder reversed = new StringBuilder();
        for (String octet : address.split("\\.")) {
            reversed.insert(0, "%02X".formatted(Integer.parseInt(octet)));
        }
        return reversed.toString();
    }

    private static List<String> lines(Path file) {
        try {
            return Files.readAllLines(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
