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

/** Waits for things that happen on other threads. Stateless. */
public final class Await {
    /** The address that all tests use. */
    public static final String HOST = "127.0.0.1";

    private static final long LONGEST_SECONDS = 60;
    private static final long POLL_MILLIS = 10;

    static final int FIRST_LISTENING_PORT = 12_000;
    static final int LISTENING_PORTS = 20_000;

    /** Processes that run tests at the same time start far from each other. */
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 997 % LISTENING_PORTS));

    private Await() {}

    /** Result of a future. */
    public static <T> T result(Future<T> future) {
        try {
            return future.toCompletionStage()
                    .toCompletableFuture()
                    .get(LONGEST_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new AssertionError(e.getCause() == null ? e : e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError(e);
        }
    }

    /** Waits until a condition holds. */
    public static void until(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONGEST_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("did not happen: " + what);
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
     * A port on which nobody listens now. It lies below the range from which the kernel takes ports
     * of outgoing connections, since one of these may take any free port there at any moment.
     */
    public static int freePort() {
        for (int tried = 0; tried < LISTENING_PORTS; tried++) {
            int port = FIRST_LISTENING_PORT + NEXT_PORT.getAndIncrement() % LISTENING_PORTS;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // Another process listens there; the next one is tried.
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        throw new AssertionError("no free port from " + FIRST_LISTENING_PORT + " on");
    }
}
