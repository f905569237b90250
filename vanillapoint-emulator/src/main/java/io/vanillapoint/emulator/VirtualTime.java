package io.vanillapoint.emulator;

import java.util.PriorityQueue;

/**
 * Clock and calendar of one run.
 *
 * <p>Invariants: time never falls; actions of one moment run in the order in which they were
 * planned, so that a run with the same seed repeats. Confined to one thread.
 */
public final class VirtualTime {
    private final PriorityQueue<Action> calendar = new PriorityQueue<>();
    private double nowMillis;
    private long planned;

    /**
     * Present time.
     *
     * @return milliseconds since the start
     */
    public double millis() {
        return nowMillis;
    }

    /**
     * Present time for decisions, which count whole milliseconds.
     *
     * @return milliseconds since the start
     */
    public long now() {
        return (long) nowMillis;
    }

    /**
     * Plans an action.
     *
     * @param delayMillis time from now, 0 or more
     * @param action what to do
     */
    public void after(double delayMillis, Runnable action) {
        calendar.add(new Action(nowMillis + Math.max(0, delayMillis), planned++, action));
    }

    /**
     * Runs all actions up to a time.
     *
     * @param endMillis time at which to stop
     */
    public void runUntil(double endMillis) {
        while (!calendar.isEmpty() && calendar.peek().atMillis <= endMillis) {
            Action next = calendar.poll();
            nowMillis = next.atMillis;
            next.action.run();
        }
        nowMillis = endMillis;
    }

    /** An action with its time. */
    private record Action(double atMillis, long order, Runnable action)
            implements Comparable<Action> {
        @Override
        public int compareTo(Action other) {
            int byTime = Double.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
