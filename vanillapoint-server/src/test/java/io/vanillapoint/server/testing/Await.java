package io.vanillapoint.server.testing;

import io.vertx.core.Future;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/** Waits for results and conditions of other threads. Stateless. */
public final class Await {
    /** Loopback address that all tests use. */
    public static final String HOST = "127.0.0.1";

    private static final long TIMEOUT_SECONDS = 60;
    private static final long POLL_MILLIS = 10;

    static final int FIRST_LISTENING_PORT = 12_000;
    static final int LISTENING_PORTS = 20_000;

    /** Derived from the process id, so that concurrent test processes start with distant ports. */
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 997 % LISTENING_PORTS));

    private Await() {}

    /** Waits for a future and returns its result. */
    public static <T> T result(Future<T> future) {
        try {
            return future.toCompletionStage()
                    .toCompletableFuture()
                    .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new AssertionError(e.getCause() == null ? e : e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError(e);
        }
    }

    /** Waits until a condition holds. */
    public static void until(String what, BooleanSupplier condition) {
        until(what, TIMEOUT_SECONDS, condition);
    }

    /** Waits until a condition holds, for a number of seconds. */
    public static void until(String what, long seconds, BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("condition did not hold in time: " + what);
            }
            try {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new AssertionError(e);
            }
        }
    }

    /**
     * Finds a port with no listener, below the kernel's range of ephemeral ports, since an outgoing
     * connection may take any free port of that range at any moment.
     */
    public static int freePort() {
        for (int tried = 0; tried < LISTENING_PORTS; tried++) {
            int port = FIRST_LISTENING_PORT + NEXT_PORT.getAndIncrement() % LISTENING_PORTS;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // In use by another process; try the next port.
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        throw new AssertionError("no free port from " + FIRST_LISTENING_PORT + " on");
    }
}
