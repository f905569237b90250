package io.vanillapoint.entry.control;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import java.lang.reflect.Proxy;
import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;

/** An event loop's timers in virtual time. Confined to one thread. */
final class VirtualTime {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::id));
    private final Set<Long> cancelled = new HashSet<>();
    private long nowMillis = 10_000;
    private long lastId;

    long nowMillis() {
        return nowMillis;
    }

    long after(long delayMillis, Runnable action) {
        lastId++;
        tasks.add(new Task(nowMillis + delayMillis, lastId, action));
        return lastId;
    }

    /** Runs all actions that are due until the time has passed. */
    void run(long millis) {
        long end = nowMillis + millis;
        while (!tasks.isEmpty() && tasks.peek().at() <= end) {
            Task task = tasks.poll();
            nowMillis = Math.max(nowMillis, task.at());
            if (!cancelled.remove(task.id())) {
                task.action().run();
            }
        }
        nowMillis = end;
    }

    /** A Vert.x instance that supports timers alone. */
    @SuppressWarnings("unchecked")
    Vertx vertx() {
        return (Vertx)
                Proxy.newProxyInstance(
                        Vertx.class.getClassLoader(),
                        new Class<?>[] {Vertx.class},
                        (proxy, method, arguments) ->
                                switch (method.getName()) {
                                    case "setTimer" -> {
                                        Handler<Long> handler = (Handler<Long>) arguments[1];
                                        yield after((long) arguments[0], () -> handler.handle(0L));
                                    }
                                    case "setPeriodic" -> {
                                        repeat((long) arguments[0], (Handler<Long>) arguments[1]);
                                        yield 0L;
                                    }
                                    case "cancelTimer" -> cancelled.add((Long) arguments[0]);
                                    default ->
                                            throw new UnsupportedOperationException(
                                                    method.getName());
                                });
    }

    private void repeat(long millis, Handler<Long> handler) {
        after(
                millis,
                () -> {
                    handler.handle(0L);
                    repeat(millis, handler);
                });
    }

    private record Task(long at, long id, Runnable action) {}
}
