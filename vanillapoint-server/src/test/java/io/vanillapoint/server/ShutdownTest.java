package io.vanillapoint.server;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vanillapoint.server.testing.Await;
import io.vanillapoint.server.testing.CallerResponse;
import io.vanillapoint.server.testing.Gateway;
import io.vertx.core.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * A graceful shutdown aborts no running request. A second drain call aborts the requests that still
 * run and reports their number.
 */
class ShutdownTest {
    private static final String READ = "/services/read/x";

    private final Gateway gateway = new Gateway();

    @AfterEach
    void stopGateway() {
        gateway.close();
    }

    @Test
    void runningRequestsFinishAndNewOnesAreRefused() {
        slowUpstream(700);
        gateway.vm("a-1", "a").vm("a-2", "a").start();
        Future<CallerResponse> running = gateway.callAsync("a-1", "GET", READ, "");
        awaitRunning("a-1");
        gateway.daemon("a-1").drain();
        CallerResponse refused = gateway.call("a-1", "GET", READ, "");
        assertThat(refused.errorCode(), is("shutting_down"));
        assertThat(refused.runState(), is("not_run"));
        assertThat(Await.result(running).body(), is("done"));
        assertThat(Await.result(gateway.daemon("a-1").stopped()), is(0));
    }

    @Test
    void drainingVmIsNoLongerListedForCallers() {
        slowUpstream(1);
        gateway.vm("a-1", "a").vm("a-2", "a").start();
        assertThat(entries(), containsString("a-1"));
        gateway.daemon("a-1").drain();
        Await.until("a-1 is no longer listed", () -> !entries().contains("a-1"));
        assertThat(entries(), not(containsString("a-1")));
    }

    @Test
    void secondDrainCallAbortsAndCountsRunningRequests() {
        slowUpstream(60_000);
        gateway.vm("a-1", "a").start();
        Future<CallerResponse> running = gateway.callAsync("a-1", "GET", READ, "");
        awaitRunning("a-1");
        gateway.daemon("a-1").drain();
        gateway.daemon("a-1").drain();
        assertThat(Await.result(gateway.daemon("a-1").stopped()), is(1));
        gateway.killVm("a-1");
        assertThat(Await.result(running).complete(), is(false));
    }

    private String entries() {
        return gateway.call("a-2", "GET", "/entries", "").body();
    }

    private void awaitRunning(String vm) {
        Await.until(
                "one request is running",
                () -> Await.result(gateway.daemon(vm).status()).running() == 1);
    }

    private void slowUpstream(long millis) {
        gateway.upstream(
                "a-one",
                "service",
                "read",
                request ->
                        gateway.vertx().setTimer(millis, timer -> request.response().end("done")));
    }
}
