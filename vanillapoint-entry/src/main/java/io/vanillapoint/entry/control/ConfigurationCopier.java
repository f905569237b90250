package io.vanillapoint.entry.control;

import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.Member;
import io.vanillapoint.core.published.GatewayPublication;
import io.vanillapoint.core.published.StorePosition;
import io.vanillapoint.http.BoundedBody;
import io.vanillapoint.wire.FleetCodec;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Asks the VM that has run longest for the configuration that it has in force, once in each era of
 * the store: after the store's return from a copy, the store itself may hold an older one.
 *
 * <p>Invariant: at most one request is in progress. Confined to one event loop.
 */
final class ConfigurationCopier {
    static final String PATH = "/configuration";

    /** Largest message that the codec reads. */
    private static final long MAX_BYTES = 16L * 1_024 * 1_024;

    private static final long TIMEOUT_MILLIS = 800;

    /** Longest time for the complete answer. */
    private static final long ANSWER_TIMEOUT_MILLIS = 5_000;

    private static final int NOT_FOUND = 404;

    private final FleetCodec codec = new FleetCodec();
    private final FleetView fleet;
    private final PublishedState publishedState;
    private final HttpClient client;
    private final EventSink log;
    private final LongSupplier clock;
    private final int port;
    private long answeredEra = StorePosition.NO_ERA;
    private boolean requestInProgress;

    ConfigurationCopier(
            FleetView fleet,
            PublishedState publishedState,
            HttpClient client,
            EventSink log,
            LongSupplier clock,
            int port) {
        this.fleet = fleet;
        this.publishedState = publishedState;
        this.client = client;
        this.log = log;
        this.clock = clock;
        this.port = port;
    }

    /** Asks another VM if none has answered in this era. Called with each heartbeat. */
    void copyOnceInEra() {
        long era = publishedState.position().era();
        if (!requestInProgress && answeredEra < era) {
            longestRunning().ifPresent(member -> request(member, era));
        }
    }

    private Optional<Member> longestRunning() {
        long now = clock.getAsLong();
        return fleet.members().stream()
                .filter(member -> fleet.alive(member, now))
                .min(Comparator.comparingLong(member -> member.info().incarnation()));
    }

    private void request(Member source, long era) {
        requestInProgress = true;
        String vm = source.info().vm();
        long version = publishedState.publication().map(GatewayPublication::version).orElse(0L);
        RequestOptions target =
                new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost(source.info().host())
                        .setPort(port)
                        .setURI(PATH + "?newerThan=" + version)
                        .setConnectTimeout(TIMEOUT_MILLIS)
                        .setTimeout(TIMEOUT_MILLIS);
        // A composed call also ends if sending it throws.
        Future.succeededFuture()
                .compose(ignored -> client.request(target))
                .compose(request -> answer(vm, request))
                .onComplete(
                        answer -> {
                            requestInProgress = false;
                            if (answer.succeeded()) {
                                answeredEra = era;
                            } else {
                                log.record(
                                        EventCode.STORE_NOT_COPIED,
                                        vm,
                                        answer.cause().getMessage());
                            }
                        });
    }

    /** Another VM that keeps sending bytes never exceeds the idle timeout of the request. */
    private Future<Void> answer(String vm, HttpClientRequest request) {
        return request.send()
                .compose(
                        response ->
                                BoundedBody.read(response, MAX_BYTES)
                                        .map(body -> apply(vm, response.statusCode(), body)))
                .timeout(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .onFailure(error -> request.reset());
    }

    /** A VM of an earlier build does not know the path. */
    private Void apply(String vm, int status, Buffer body) {
        if (status == NOT_FOUND) {
            return null;
        }
        try {
            publishedState.mergeConfigurationInForce(codec.decodeStoreChanges(body.getBytes()), vm);
        } catch (VanillapointException e) {
            log.record(EventCode.PEER_BAD_FRAME, vm, e.getMessage());
        }
        return null;
    }
}
