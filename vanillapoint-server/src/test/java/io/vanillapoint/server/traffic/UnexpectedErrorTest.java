package io.vanillapoint.server.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.server.testing.Await;
import io.vanillapoint.server.testing.CallerResponse;
import io.vanillapoint.server.testing.Gateway;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A request that meets an unexpected error is answered, and frees its place. */
class UnexpectedErrorTest {
    private final Gateway gateway = new Gateway();
    private final AtomicInteger runs = new AtomicInteger();

    @BeforeEach
    void startGateway() {
        gateway.upstream(
                "a-s",
                "service",
                "read",
                request -> {
                    runs.incrementAndGet();
                    request.response().setChunked(true).end("ok");
                });
        gateway.vm("a-1", "a").start();
    }

    @AfterEach
    void stopGateway() {
        gateway.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"route", "plan", "memory/route", "memory/plan"})
    void errorBeforeTheRequestRunsIsReportedAsNotRun(String step) {
        CallerResponse response = gateway.call("a-1", "GET", "/faulty/" + step, "");
        assertThat(response.status(), is(500));
        assertThat(response.runState(), is("not_run"));
        assertThat(runs.get(), is(0));
        assertLoggedAndFree();
    }

    @ParameterizedTest
    @ValueSource(strings = {"head", "data", "memory/head", "memory/data"})
    void errorInTheResponseIsNotReportedAsNotRun(String step) {
        CallerResponse response = gateway.call("a-1", "GET", "/faulty/" + step, "");
        assertThat(response.status(), is(500));
        assertThat(response.runState(), is("unknown"));
        assertThat(runs.get(), is(1));
        assertLoggedAndFree();
    }

    @ParameterizedTest
    @ValueSource(strings = {"end", "memory/end"})
    void errorAfterAPartOfTheResponseCutsIt(String step) {
        CallerResponse response = gateway.call("a-1", "GET", "/faulty/" + step, "");
        assertThat(response.complete(), is(false));
        assertThat(runs.get(), is(1));
        assertLoggedAndFree();
    }

    @ParameterizedTest
    @ValueSource(strings = {"usage", "memory/usage"})
    void errorAfterTheResponseFreesThePlace(String step) {
        CallerResponse response = gateway.call("a-1", "GET", "/faulty/" + step, "");
        assertThat(response.body(), is("ok"));
        assertLoggedAndFree();
    }

    private void assertLoggedAndFree() {
        Await.until(
                "no request is left running",
                () -> Await.result(gateway.daemon("a-1").status()).running() == 0);
        long logged =
                gateway.events().stream()
                        .filter(event -> event.code() == EventCode.INTERNAL_ERROR)
                        .count();
        assertThat(logged, greaterThan(0L));
    }
}
