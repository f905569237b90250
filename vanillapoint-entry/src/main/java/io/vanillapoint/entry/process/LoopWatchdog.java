package io.vanillapoint.entry.process;

import io.vanillapoint.core.time.HangDetector;
import io.vertx.core.Vertx;
import io.vertx.core.internal.VertxInternal;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Thread that ends the process when an event loop has ended or hangs.
 *
 * <p>The loop only counts its iterations, and this thread takes no lock that the loop takes. It
 * polls whether the threads are alive, because Netty may log the Error that ends a loop instead of
 * passing it to the handler of uncaught exceptions. The loop that accepts connections is polled
 * too. Safe for use by several threads.
 */
public final class LoopWatchdog {
    /** Longest time without an iteration. A busy VM was up to 8.4 s behind, with iterations. */
    public static final long LIMIT_MILLIS = 10_000;

    /** Detects an ended loop well within a second; each wake-up takes processor time. */
    private static final long INTERVAL_MILLIS = 250;

    /** Longest gap that counts in full; allows for a thread that is scheduled late. */
    private static final long MAX_STEP_MILLIS = 2 * INTERVAL_MILLIS;

    private static final long ITERATION_MILLIS = 500;

    private final FatalExit exit;
    private final long limitMillis;
    private final HangDetector detector;
    private final AtomicLong iterations = new AtomicLong();
    private final Set<Thread> loops = ConcurrentHashMap.newKeySet();
    private volatile boolean stopped;

    private LoopWatchdog(FatalExit exit, long limitMillis) {
        this.exit = exit;
        this.limitMillis = limitMillis;
        detector = new HangDetector(limitMillis, MAX_STEP_MILLIS);
    }

    /**
     * Starts watching, and handles uncaught Errors of event loops.
     *
     * @param vertx instance with one event loop
     * @param exit ends the process
     * @param limitMillis time without an iteration after which the loop hangs
     * @return the watchdog
     */
    public static LoopWatchdog start(Vertx vertx, FatalExit exit, long limitMillis) {
        LoopWatchdog watchdog = new LoopWatchdog(exit, limitMillis);
        Thread.setDefaultUncaughtExceptionHandler(watchdog::uncaught);
        vertx.runOnContext(ignored -> watchdog.loops.add(Thread.currentThread()));
        ((VertxInternal) vertx)
                .acceptorEventLoopGroup()
                .execute(() -> watchdog.loops.add(Thread.currentThread()));
        vertx.setPeriodic(ITERATION_MILLIS, ignored -> watchdog.iterations.incrementAndGet());
        Thread thread = new Thread(watchdog::run, "loop-watchdog");
        thread.setDaemon(true);
        thread.start();
        return watchdog;
    }

    /** Stops watching, because the process ends. */
    public void stop() {
        stopped = true;
    }

    private void run() {
        try {
            while (!stopped) {
                TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
                check();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void check() {
        for (Thread loop : loops) {
            if (!loop.isAlive() && !stopped) {
                exit.exit(FatalExit.Fault.LOOP_ENDED, loop.getName());
            }
        }
        long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        if (detector.hangs(iterations.get(), now) && !stopped) {
            exit.exit(FatalExit.Fault.LOOP_HANGS, limitMillis);
        }
    }

    private void uncaught(Thread thread, Throwable error) {
        if (loops.contains(thread)) {
            exit.exit(FatalExit.Fault.LOOP_ENDED, error.getClass().getName());
        }
        System.err.println("uncaught in thread " + thread.getName() + ": " + error);
    }
}
