package io.vanillapoint.entry.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes batches of lines to standard output on its own thread, so that a blocked output does not
 * block callers.
 *
 * <p>Invariant: holds at most a fixed number of tasks. Safe for use by several threads.
 */
public final class AsyncLineWriter implements LineWriter, Executor {
    /** A few seconds of batches at ten per second. */
    private static final int MAX_BATCHES = 32;

    private static final long CLOSE_TIMEOUT_MILLIS = 200;

    private final BlockingQueue<Runnable> tasks = new ArrayBlockingQueue<>(MAX_BATCHES);
    private final OutputStream out = new FileOutputStream(FileDescriptor.out);
    private final Thread thread = new Thread(this::run, "decision-log");
    private final AtomicLong droppedWarnings = new AtomicLong();
    private boolean failureReported;

    /** Starts the thread. */
    public AsyncLineWriter() {
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public boolean offer(String lines) {
        return tasks.offer(() -> write(lines));
    }

    /**
     * Runs other work of the log on its thread. Work is dropped and counted if the queue is full.
     */
    @Override
    public void execute(Runnable work) {
        if (!tasks.offer(work)) {
            droppedWarnings.incrementAndGet();
        }
    }

    @Override
    public long droppedWarnings() {
        return droppedWarnings.get();
    }

    /** Stops the thread once the queued lines are written, and waits a short time for that. */
    public void close() {
        thread.interrupt();
        try {
            TimeUnit.MILLISECONDS.timedJoin(thread, CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                runSafely(tasks.take());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runnable remaining = tasks.poll();
        while (remaining != null) {
            runSafely(remaining);
            remaining = tasks.poll();
        }
    }

    /** Runs a task; an unexpected error must not end the thread that all later lines need. */
    private void runSafely(Runnable task) {
        try {
            task.run();
        } catch (Throwable e) {
            reportLost(e);
        }
    }

    private void reportLost(Throwable cause) {
        droppedWarnings.incrementAndGet();
        try {
            System.err.println("a task of the log failed, its lines are lost: " + cause);
        } catch (Throwable e) {
            // The heap may be exhausted; the counter has the loss.
            droppedWarnings.incrementAndGet();
        }
    }

    /** Writes lines. The first failure is reported on standard error, the only other output. */
    private void write(String lines) {
        try {
            out.write(lines.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            if (!failureReported) {
                failureReported = true;
                System.err.println("writing to standard output failed, log lines are lost: " + e);
            }
        }
    }
}
