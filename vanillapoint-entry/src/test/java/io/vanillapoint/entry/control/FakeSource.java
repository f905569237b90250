package io.vanillapoint.entry.control;

import io.vanillapoint.core.published.StoreChanges;
import io.vanillapoint.core.published.StorePage;
import io.vanillapoint.core.published.StorePosition;
import io.vanillapoint.entry.port.PublishedSource;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A store whose watches are completed by the test. Safe for use by several threads. */
final class FakeSource implements PublishedSource {
    private final BlockingQueue<Promise<StoreChanges>> watches = new LinkedBlockingQueue<>();
    private final CountDownLatch orderListings = new CountDownLatch(1);
    private volatile long lastWaitMillis;
    private final Queue<Error> errors = new ConcurrentLinkedQueue<>();

    @Override
    public Future<StorePage> page(Part part, String after) {
        if (part == Part.ORDERS) {
            orderListings.countDown();
        }
        return Future.succeededFuture(new StorePage(new StorePosition(1, 4), List.of(), false));
    }

    @Override
    public Future<StoreChanges> watch(long after, long waitMillis) {
        Error error = errors.poll();
        if (error != null) {
            throw error;
        }
        lastWaitMillis = waitMillis;
        Promise<StoreChanges> answer = Promise.promise();
        watches.add(answer);
        return answer.future();
    }

    @Override
    public void cancelWatch() {}

    /** Tells whether the configuration and evacuations are listed within half a minute. */
    boolean awaitOrderListing() throws InterruptedException {
        return orderListings.await(30, TimeUnit.SECONDS);
    }

    /** Lets the next watch throw. */
    void failNextWatch(Error error) {
        errors.add(error);
    }

    /** Wait of the last watch. */
    long lastWaitMillis() {
        return lastWaitMillis;
    }

    int pendingWatches() {
        return watches.size();
    }

    /** The next watch, or null if there is none within half a minute. */
    Promise<StoreChanges> nextWatch() throws InterruptedException {
        return watches.poll(30, TimeUnit.SECONDS);
    }
}
