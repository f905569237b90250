package io.vanillapoint.entry.control;

import io.vanillapoint.core.published.StoreChanges;
import io.vanillapoint.core.published.StorePage;
import io.vanillapoint.core.published.StorePosition;
import io.vanillapoint.core.published.StoredItem;
import io.vanillapoint.entry.port.PublishedSource;
import io.vanillapoint.entry.port.StoreException;
import io.vanillapoint.entry.port.StoreException.Kind;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A store in virtual time, reached over a link of limited rate. Pages have a megabyte, a watch
 * returns all events, and history is kept for 20 s. Confined to one thread.
 */
final class VirtualStore implements PublishedSource {
    private static final String ORDERS = "op/";
    private static final long PAGE_BYTES = 1_000_000;
    private static final long MAX_BODY_BYTES = 8 << 20;
    private static final long MAX_WATCH_TRANSFER_MILLIS = 1_500;
    private static final long HISTORY_MILLIS = 20_000;
    private static final long CALL_MILLIS = 3;
    private static final double BASE64 = 4.0 / 3;

    private final VirtualTime time;
    private final double bytesPerMilli;
    private final Map<String, Entry> entries = new TreeMap<>();
    private final List<Long> callTimes = new ArrayList<>();
    private Optional<Watch> waiting = Optional.empty();
    private Optional<Kind> failure = Optional.empty();
    private long revision;

    VirtualStore(VirtualTime time, double bytesPerMilli) {
        this.time = time;
        this.bytesPerMilli = bytesPerMilli;
    }

    /** Writes a value. Only its size matters, except to the test. */
    void put(String key, int bytes) {
        revision++;
        StoredItem item = new StoredItem(key, revision, false, new byte[bytes]);
        entries.put(key, new Entry(item, time.nowMillis()));
        // Writes of one moment are answered together.
        time.after(1, () -> waiting.ifPresent(this::answerIfChanged));
    }

    /** Lets watches fail, or no longer if the kind is empty. */
    void failWatches(Optional<Kind> kind) {
        failure = kind;
    }

    /** Times of the calls so far. */
    List<Long> callTimes() {
        return List.copyOf(callTimes);
    }

    long revision() {
        return revision;
    }

    @Override
    public Future<StorePage> page(Part part, String after) {
        callTimes.add(time.nowMillis());
        Promise<StorePage> answer = Promise.promise();
        List<StoredItem> items = new ArrayList<>();
        long bytes = 0;
        boolean hasMore = false;
        for (Entry entry : entries.values()) {
            String key = entry.item().key();
            if (key.compareTo(after) <= 0 || part == Part.ORDERS && !key.startsWith(ORDERS)) {
                continue;
            }
            if (bytes >= PAGE_BYTES) {
                hasMore = true;
                break;
            }
            items.add(entry.item());
            bytes += entry.item().value().length;
        }
        StorePage page = new StorePage(new StorePosition(1, revision), items, hasMore);
        time.after(transferMillis(bytes), () -> answer.tryComplete(page));
        return answer.future();
    }

    @Override
    public Future<StoreChanges> watch(long after, long waitMillis) {
        callTimes.add(time.nowMillis());
        Watch watch = new Watch(after, Promise.promise());
        waiting = Optional.of(watch);
        if (failure.isPresent()) {
            time.after(CALL_MILLIS, () -> fail(watch, failure.get()));
            return watch.answer().future();
        }
        time.after(
                waitMillis,
                () -> {
                    if (waiting.equals(Optional.of(watch))) {
                        answer(watch, List.of());
                    }
                });
        answerIfChanged(watch);
        return watch.answer().future();
    }

    @Override
    public void cancelWatch() {
        waiting.ifPresent(watch -> fail(watch, Kind.UNREACHABLE));
    }

    private void answerIfChanged(Watch watch) {
        List<Entry> changed =
                entries.values().stream()
                        .filter(entry -> entry.item().revision() > watch.after())
                        .sorted(Comparator.comparingLong(entry -> entry.item().revision()))
                        .toList();
        if (changed.isEmpty()) {
            return;
        }
        if (changed.get(0).writtenAt() < time.nowMillis() - HISTORY_MILLIS) {
            time.after(CALL_MILLIS, () -> fail(watch, Kind.HISTORY_GONE));
            return;
        }
        answer(watch, changed.stream().map(Entry::item).toList());
    }

    private void answer(Watch watch, List<StoredItem> items) {
        waiting = Optional.empty();
        StoreChanges changes = StoreChanges.changes(new StorePosition(1, revision), items);
        long bytes = items.stream().mapToLong(item -> item.value().length).sum();
        long transferMillis = transferMillis(bytes);
        if (bytes * BASE64 > MAX_BODY_BYTES || transferMillis > MAX_WATCH_TRANSFER_MILLIS) {
            time.after(
                    Math.min(transferMillis, MAX_WATCH_TRANSFER_MILLIS),
                    () -> fail(watch, Kind.TOO_LARGE));
        } else {
            time.after(transferMillis, () -> watch.answer().tryComplete(changes));
        }
    }

    private void fail(Watch watch, Kind kind) {
        waiting = waiting.filter(other -> !other.equals(watch));
        watch.answer().tryFail(new StoreException(kind, "failure of the test"));
    }

    private long transferMillis(long bytes) {
        return CALL_MILLIS + (long) (bytes * BASE64 / bytesPerMilli);
    }

    private record Entry(StoredItem item, long writtenAt) {}

    private record Watch(long after, Promise<StoreChanges> answer) {}
}
