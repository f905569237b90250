package io.vanillapoint.server.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A daemon that runs as a child process with the flags of {@code bin/vanillapointd}, a smaller heap
 * and fewer descriptors. Immutable.
 */
public final class DaemonProcess implements AutoCloseable {
    private static final long EXIT_SECONDS = 10;

    private final Process process;

    private DaemonProcess(Process process) {
        this.process = process;
    }

    /** Starts the daemon of a VM of a gateway whose values are published. */
    public static DaemonProcess start(
            Gateway gateway, String vm, int heapMegabytes, int descriptors, Path log) {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                "sh",
                                "-c",
                                "ulimit -n " + descriptors + "; exec \"$@\"",
                                "sh",
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx" + heapMegabytes + "m",
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-XX:ReservedCodeCacheSize=16m",
                                "-Xss512k",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "io.vanillapoint.server.Vanillapointd"));
        command.addAll(gateway.flags(vm));
        try {
            return new DaemonProcess(
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(log.toFile())
                            .start());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public long pid() {
        return process.pid();
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
