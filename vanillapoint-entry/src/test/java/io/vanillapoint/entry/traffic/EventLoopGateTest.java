package io.vanillapoint.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Lag of the event loop and deferral of work while it is behind. */
class EventLoopGateTest {
    private static final long INTERVAL = 200;

    private final Vertx vertx = Vertx.vertx();
    private final EventLoopLag lag = new EventLoopLag(INTERVAL, 0);

    @AfterEach
    void close() throws Exception {
        vertx.close().await(10, TimeUnit.SECONDS);
    }

    @Test
    void loopWithTimelyTicksIsNotBehind() {
        for (long now = INTERVAL; now < 10_000; now += INTERVAL + 20) {
            lag.tick(now);
            assertThat(lag.isBehind(now + INTERVAL), is(false));
        }
    }

    @Test
    void loopIsBehindUntilOneSecondAfterALateTick() {
        assertThat(lag.isBehind(INTERVAL + 100), is(true));
        lag.tick(2_000);
        lag.tick(2_000);
        assertThat(lag.isBehind(2_100), is(true));
        for (long now = 2_200; now <= 3_200; now += INTERVAL) {
            lag.tick(now);
        }
        assertThat(lag.isBehind(3_200), is(false));
    }

    @Test
    void delayIsMeasuredOverTheLastTicks() {
        assertThat(lag.delayMillis(INTERVAL + 50), is(50L));
        lag.tick(2_000);
        assertThat(lag.delayMillis(2_050), is(1_800L));
        lag.tick(2_200);
        assertThat(lag.delayMillis(2_300), is(0L));
    }

    @Test
    void receiveDelayIsReportedOnlyWhileTheLoopIsBehind() {
        assertThat(new EventLoopGate(vertx, () -> INTERVAL + 50, lag).receiveDelayMillis(), is(0L));
        assertThat(
                new EventLoopGate(vertx, () -> INTERVAL + 900, lag).receiveDelayMillis(), is(900L));
    }

    @Test
    void deferredWorkRunsAfterATimerThatCouldNotBeSet() throws Exception {
        AtomicBoolean failed = new AtomicBoolean();
        Vertx failingOnce =
                (Vertx)
                        Proxy.newProxyInstance(
                                Vertx.class.getClassLoader(),
                                new Class<?>[] {Vertx.class},
                                (proxy, method, arguments) -> {
                                    if (failed.compareAndSet(false, true)) {
                                        throw new OutOfMemoryError("heap");
                                    }
                                    return method.invoke(vertx, arguments);
                                });
        EventLoopGate gate = new EventLoopGate(failingOnce, () -> 5_000, lag);
        Promise<Void> ran = Promise.promise();
        vertx.runOnContext(
                ignored -> {
                    assertThrows(OutOfMemoryError.class, () -> gate.execute(() -> {}));
                    gate.execute(ran::complete);
                });
        ran.future().await(10, TimeUnit.SECONDS);
    }

    @Test
    void workRunsAtOnceIfTheLoopIsNotBehind() throws Exception {
        assertThat(order(INTERVAL), contains("work", "read"));
    }

    @Test
    void workIsDeferredUntilInputIsReadIfTheLoopIsBehind() throws Exception {
        assertThat(order(5_000), contains("read", "work"));
    }

    @Test
    void loopThatIsBehindPollsForInputBetweenTasks() throws Exception {
        List<String> order = new ArrayList<>();
        Promise<Void> done = Promise.promise();
        vertx.runOnContext(
                nothing -> {
                    EventLoopGate gate = new EventLoopGate(vertx, () -> 5_000, lag);
                    gate.execute(
                            () -> {
                                order.add("first");
                                vertx.runOnContext(unused -> order.add("read"));
                            });
                    gate.execute(
                            () -> {
                                order.add("second");
                                done.complete();
                            });
                });
        done.future().await(10, TimeUnit.SECONDS);
        assertThat(order, contains("first", "read", "second"));
    }

    /**
     * The loop may catch up between two pieces of work; a second timer would find an empty queue.
     */
    @Test
    void nestedWorkLeavesNoTimerForAnEmptyQueue() throws Exception {
        List<Throwable> errors = new ArrayList<>();
        vertx.exceptionHandler(errors::add);
        long[] now = {5_000};
        Promise<Void> done = Promise.promise();
        vertx.runOnContext(
                nothing -> {
                    EventLoopGate gate = new EventLoopGate(vertx, () -> now[0], lag);
                    gate.execute(
                            () -> {
                                gate.execute(() -> vertx.setTimer(50, late -> done.complete()));
                                now[0] = INTERVAL;
                            });
                });
        done.future().await(10, TimeUnit.SECONDS);
        assertThat(errors, is(List.of()));
    }

    @Test
    void failedWorkDoesNotBlockLaterWork() throws Exception {
        Promise<Void> done = Promise.promise();
        vertx.runOnContext(
                nothing -> {
                    EventLoopGate gate = new EventLoopGate(vertx, () -> 5_000, lag);
                    gate.execute(
                            () -> {
                                throw new IllegalStateException("failure injected by the test");
                            });
                    gate.execute(done::complete);
                });
        done.future().await(10, TimeUnit.SECONDS);
    }

    /** Passes work to a gate with another event queued behind it, and returns their order. */
    private List<String> order(long now) throws Exception {
        List<String> order = new ArrayList<>();
        Promise<Void> worked = Promise.promise();
        Promise<Void> read = Promise.promise();
        vertx.runOnContext(
                nothing -> {
                    EventLoopGate gate = new EventLoopGate(vertx, () -> now, lag);
                    gate.execute(
                            () -> {
                                order.add("work");
                                worked.complete();
                            });
                    vertx.runOnContext(
                            unused -> {
                                order.add("read");
                                read.complete();
                            });
                });
        worked.future().await(10, TimeUnit.SECONDS);
        read.future().await(10, TimeUnit.SECONDS);
        return order;
    }
}
