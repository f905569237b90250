package io.vanillapoint.entry.control;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.Member;
import io.vanillapoint.core.fleet.StoreVms;
import io.vanillapoint.core.published.StoreChanges;
import io.vanillapoint.core.published.StorePosition;
import io.vanillapoint.http.BoundedBody;
import io.vanillapoint.wire.FleetCodec;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Copies published values from another VM when this VM's own access to the store is slow, lost or
 * refused.
 *
 * <p>Invariant: at most one copy is in progress. Confined to one event loop.
 */
final class StoreCopier {
    static final String PATH = "/published";

    /** This VM's own watch usually delivers a change within this time of the first VM's. */
    private static final long WATCH_HEAD_START_MILLIS = 150;

    /** Largest message that the codec reads. */
    private static final long MAX_BYTES = 16L * 1_024 * 1_024;

    /** Longest time for the connection, and without a byte of the answer. */
    private static final long TIMEOUT_MILLIS = 800;

    /** Longest time for the complete answer. */
    private static final long ANSWER_TIMEOUT_MILLIS = 5_000;

    /** Time for which other VMs that are ahead come before one that did not answer. */
    private static final long AVOID_MILLIS = 3_000;

    private final FleetCodec codec = new FleetCodec();
    private final StoreVms storeVms;
    private final PublishedState publishedState;
    private final StoreSync storeSync;
    private final HttpClient client;
    private final EventSink log;
    private final LongSupplier clock;
    private final int port;
    private final BooleanSupplier urgent;

    /** VMs that did not answer, with the monotonic time until which others are asked first. */
    private final Map<String, Long> avoidedUntil = new HashMap<>();

    private long behindSinceMillis = -1;
    private boolean copyInProgress;

    StoreCopier(
            FleetView fleet,
            PublishedState publishedState,
            StoreSync storeSync,
            HttpClient client,
            EventSink log,
            LongSupplier clock,
            int port,
            BooleanSupplier urgent) {
        storeVms = new StoreVms(fleet);
        this.publishedState = publishedState;
        this.storeSync = storeSync;
        this.client = client;
        this.log = log;
        this.clock = clock;
        this.port = port;
        this.urgent = urgent;
    }

    /** Starts a copy if another VM has newer values. Called with each heartbeat. */
    void copyIfBehind() {
        long now = clock.getAsLong();
        avoidedUntil.values().removeIf(until -> now >= until);
        Optional<Member> source =
                storeVms.source(publishedState.position(), avoidedUntil.keySet(), now);
        if (source.isEmpty()) {
            behindSinceMillis = -1;
            return;
        }
        if (behindSinceMillis < 0) {
            behindSinceMillis = now;
        }
        boolean awaitsWatch = storeSync.answeredRecently() && !urgent.getAsBoolean();
        long delayMillis = awaitsWatch ? WATCH_HEAD_START_MILLIS : 0;
        if (!copyInProgress && now - behindSinceMillis >= delayMillis) {
            copy(source.get());
        }
    }

    private void copy(Member source) {
        copyInProgress = true;
        StorePosition position = publishedState.position();
        String vm = source.info().vm();
        RequestOptions target =
                new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost(source.info().host())
                        .setPort(port)
                        .setURI(PATH + "?after=" + position.revision() + "&era=" + position.era())
                        .setConnectTimeout(TIMEOUT_MILLIS)
                        .setTimeout(TIMEOUT_MILLIS);
        // A composed call also ends if sending it throws.
        Future.succeededFuture()
                .compose(ignored -> client.request(target))
                .compose(StoreCopier::answer)
                .onComplete(
                        body -> {
                            copyInProgress = false;
                            if (body.failed()) {
                                copyFailed(vm, body.cause());
                            } else {
                                applyCopy(vm, body.result());
                            }
                        });
    }

    /**
     * Asks another VM next. An answer that is too large would be as large from any VM, so the store
     * is listed instead, in pages.
     */
    private void copyFailed(String vm, Throwable cause) {
        avoidedUntil.put(vm, clock.getAsLong() + AVOID_MILLIS);
        log.record(EventCode.STORE_NOT_COPIED, vm, cause.getMessage());
        if (cause instanceof VanillapointException failure
                && failure.code() == ErrorCode.BAD_MESSAGE) {
            storeSync.listingNeeded();
        }
    }

    /** Another VM that keeps sending bytes never exceeds the idle timeout of the request. */
    private static Future<Buffer> answer(HttpClientRequest request) {
        return request.send()
                .compose(response -> BoundedBody.read(response, MAX_BYTES))
                .timeout(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .onFailure(error -> request.reset());
    }

    private void applyCopy(String vm, Buffer body) {
        try {
            StoreChanges changes = codec.decodeStoreChanges(body.getBytes());
            long previousRevision = publishedState.position().revision();
            int items = publishedState.merge(changes, vm, storeSync.storeWasUnavailable());
            log.record(
                    EventCode.STORE_COPIED,
                    vm,
                    previousRevision,
                    changes.position().revision(),
                    items);
            storeSync.stateCopied();
        } catch (VanillapointException e) {
            avoidedUntil.put(vm, clock.getAsLong() + AVOID_MILLIS);
            log.record(EventCode.PEER_BAD_FRAME, vm, e.getMessage());
            storeSync.listingNeeded();
        }
    }
}
