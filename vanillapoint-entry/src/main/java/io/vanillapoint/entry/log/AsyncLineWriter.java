package io.vanillapoint.entry.log;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Writes batches of lines to the log on a thread of its own, so that a standard output that nobody
 * reads holds up nothing else.
 *
 * <p>Invariant: holds at most a fixed number of batches. Safe for use by several threads.
 */
public final class AsyncLineWriter implements LineWriter {
    private static final Logger LOG = LogManager.getLogger("io.vanillapoint.decisions");

    /** A few seconds of batches at ten a second. */
    private static final int MOST_BATCHES = 32;

    private static final long CLOSE_MILLIS = 200;

    private final BlockingQueue<String> batches = new ArrayBlockingQueue<>(MOST_BATCHES);
    private final Thread thread = new Thread(this::run, "decision-log");

    /** Starts the thread. */
    public AsyncLineWriter() {
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public boolean offer(String lines) {
        return batches.offer(lines);
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
                write(batches.take());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        String rest = batches.poll();
        while (rest != null) {
            write(rest);
            rest = batches.poll();
        }
    }

    private static void write(String lines) {
        LOG.info(lines.substring(0, lines.length() - 1));
    }
}
