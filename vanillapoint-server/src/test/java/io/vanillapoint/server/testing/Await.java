package io.vanillapoint.server.testing;

import io.vertx.core.Future;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

/** Waits for things that happen on other threads. Stateless. */
public final class Await {
    /** The address that all tests use. */
    public static final String HOST = "127.0.0.1";

    private static final long LONGEST_SECONDS = 60;
    private static final long POLL_MILLIS = 10;

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

    /** A port that nobody uses now. */
    public static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
