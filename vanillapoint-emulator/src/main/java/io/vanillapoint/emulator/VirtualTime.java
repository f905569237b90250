package io.vanillapoint.emulator;

import java.util.PriorityQueue;

/**
 * Clock and event queue of one run.
 *
 * <p>Invariants: time never goes back; actions of the same time run in the order in which they were
 * scheduled, so that a run is reproducible from its seed. Confined to one thread.
 */
public final class VirtualTime {
    private final PriorityQueue<Action> queue = new PriorityQueue<>();
    private double nowMillis;
    private long nextOrder;

    /**
     * Current time.
     *
     * @return milliseconds since the start
     */
    public double millis() {
        return nowMillis;
    }

    /**
     * Current time in whole milliseconds, the resolution of the placement code.
     *
     * @return milliseconds since the start
     */
    public long now() {
        return (long) nowMillis;
    }

    /**
     * Schedules an action.
     *
     * @param delayMillis delay from now; a negative value counts as 0
     * @param action action to run
     */
    public void schedule(double delayMillis, Runnable action) {
        queue.add(new Action(nowMillis + Math.max(0, delayMillis), nextOrder++, action));
    }

    /**
     * Runs all actions up to a time.
     *
     * @param endMillis time at which to stop
     */
    public void runUntil(double endMillis) {
        while (!queue.isEmpty() && queue.peek().atMillis <= endMillis) {
            Action next = queue.poll();
            nowMillis = next.atMillis;
            next.action.run();
        }
        nowMillis = endMillis;
    }

    /** An action with its time; {@code order} breaks ties. */
    private record Action(double atMillis, long order, Runnable action)
            implements Comparable<Action> {
        @Override
        public int compareTo(Action other) {
            int byTime = Double.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
