package io.vanillapoint.server.platform;

import io.vanillapoint.server.testing.Await;
import io.vanillapoint.server.testing.Gateway;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Polling of an upstream whose reports never end. */
class LoadPollerTest {
    private static final int POLLS = 12;
    private static final long BYTE_INTERVAL_MILLIS = 50;

    private final Gateway gateway = new Gateway();
    private final AtomicInteger polls = new AtomicInteger();

    @AfterEach
    void stopGateway() {
        gateway.close();
    }

    @Test
    void upstreamWhoseReportsArriveByteByByteIsPolledOn() {
        gateway.upstream("a-engine", "model", "m", this::reportByteByByte);
        gateway.flags("--load-poll-ms=100").vm("a-1", "a").start();
        Await.until("the upstream is polled on", () -> polls.get() >= POLLS);
    }

    private void reportByteByByte(HttpServerRequest request) {
        polls.incrementAndGet();
        request.response().setChunked(true);
        long timer =
                gateway.vertx()
                        .setPeriodic(
                                BYTE_INTERVAL_MILLIS, ignored -> request.response().write(" "));
        request.response().exceptionHandler(ignored -> gateway.vertx().cancelTimer(timer));
        request.response().closeHandler(ignored -> gateway.vertx().cancelTimer(timer));
    }
}
