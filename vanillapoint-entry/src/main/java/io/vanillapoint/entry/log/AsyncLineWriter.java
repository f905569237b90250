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
 * Writes batches of lines to standard output on a thread of its own, so that an output that nobody
 * reads holds up nothing else.
 *
 * <p>Invariant: holds at most a fixed number of batches. Safe for use by several threads.
 */
public final class AsyncLineWriter implements LineWriter, Executor {
    /** A few seconds of batches at ten a second. */
    private static final int MOST_BATCHES = 32;

    private static final long CLOSE_MILLIS = 200;

    private final BlockingQueue<Runnable> batches = new ArrayBlockingQueue<>(MOST_BATCHES);
    private final OutputStream out = new FileOutputStream(FileDescriptor.out);
    private final Thread thread = new Thread(this::run, "decision-log");
    private final AtomicLong leftOut = new AtomicLong();
    private boolean failed;

    /** Starts the thread. */
    public AsyncLineWriter() {
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public boolean offer(String lines) {
        return batches.offer(() -> write(lines));
    }

    /** Runs other work of the log on its thread; work for which there is no room is counted. */
    @Override
    public void execute(Runnable work) {
        if (!batches.offer(work)) {
            leftOut.incrementAndGet();
        }
    }

    @Override
    public long leftOut() {
        return leftOut.get();
    }

    /** Waits a moment for the last lines to be written. */
    public void close() {
        thread.interrupt();
        try {
            TimeUnit.MILLISECONDS.timedJoin(thread, CLOSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                batches.take().run();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runnable rest = batches.poll();
        while (rest != null) {
            rest.run();
            rest = batches.poll();
        }
    }

    /** A closed standard output is reported once, on the only other way out that there is. */
    private void write(String lines) {
        try {
            out.write(lines.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            if (!failed) {
                failed = true;
                System.err.println("standard output can't be written, log lines are lost: " + e);
            }
        }
    }
}
