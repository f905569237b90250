package io.vanillapoint.core.upstream;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time with scheduled actions; those of the same moment run in the order of scheduling. */
final class ReplayTime {
    private final PriorityQueue<Action> actions =
            new PriorityQueue<>(
                    Comparator.<Action>comparingDouble(action -> action.atMillis)
                            .thenComparingLong(action -> action.order));
    private double nowMillis = 10_000;
    private long order;

    private record Action(double atMillis, long order, Runnable run) {}

    long now() {
        return (long) nowMillis;
    }

    double millis() {
        return nowMillis;
    }

    void schedule(double afterMillis, Runnable run) {
        actions.add(new Action(nowMillis + afterMillis, order++, run));
    }

    void runUntil(double endMillis) {
        while (!actions.isEmpty() && actions.peek().atMillis <= endMillis) {
            Action action = actions.poll();
            nowMillis = action.atMillis;
            action.run.run();
        }
        nowMillis = endMillis;
    }
}
