package io.vanillapoint.server.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.server.testing.Await;
import io.vanillapoint.server.testing.Gateway;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * An accepted configuration never reverts to an older revision, and an invalid value is ignored.
 */
class ConfigurationTest {
    private static final String CUSTOMERS = "declarations/customers-00";
    private static final String READ = "/services/read/x";

    private final Gateway gateway = new Gateway();

    @AfterEach
    void stopGateway() {
        gateway.close();
    }

    @Test
    void olderRevisionAfterANewerOneIsIgnored() {
        startOne();
        gateway.platform().publishWithRevision(CUSTOMERS, 100, customers("other-key"));
        Await.until("the revoked key is refused", () -> status() == 401);
        gateway.platform().publishWithRevision(CUSTOMERS, 50, customers(Gateway.KEY));
        gateway.platform().publish("declarations/unused", "{}");
        Await.until(
                "the older revision was read",
                () ->
                        gateway.events().stream()
                                        .anyMatch(e -> e.code() == EventCode.CONFIG_OLDER_IGNORED)
                                || status() == 401);
        assertThat(status(), is(401));
    }

    @Test
    void invalidValueIsRejectedAndTheLastValidOneIsKept() {
        startOne();
        gateway.platform().publish(CUSTOMERS, "{\"customers\":[{\"name\":\"c\",\"rate\":-1}]}");
        Await.until(
                "the invalid value is refused",
                () ->
                        gateway.events().stream()
                                .anyMatch(e -> e.code() == EventCode.CONFIG_REFUSED));
        assertThat(status(), is(200));
    }

    @Test
    void requestsAreServedDuringAPlatformOutage() {
        startOne();
        gateway.platform().failAllReads(true);
        Await.until(
                "the outage is reported",
                () ->
                        gateway.events().stream()
                                .anyMatch(e -> e.code() == EventCode.PLATFORM_UNREACHABLE));
        assertThat(status(), is(200));
        long reads = gateway.platform().reads();
        Await.until("the VM reads again", () -> gateway.platform().reads() > reads);
        gateway.platform().failAllReads(false);
        Await.until(
                "the end of the outage is reported",
                () ->
                        gateway.events().stream()
                                .anyMatch(e -> e.code() == EventCode.PLATFORM_REACHABLE));
    }

    /** A restarted VM that can't read the platform gets the newest values from its peers. */
    @Test
    void restartedVmGetsTheConfigurationFromItsPeers() {
        gateway.upstream("a-s", "service", "read", request -> request.response().end("ok"));
        gateway.vm("a-1", "a").vm("a-2", "a").start();
        gateway.killVm("a-2");
        gateway.cutFromPlatform("a-2");
        gateway.flags("--seed-peers=127.0.0.1:" + gateway.peers("a-1"));
        gateway.startVm("a-2");
        Await.until(
                "the restarted VM serves requests",
                () -> gateway.call("a-2", "GET", READ, "").status() == 200);
    }

    @Test
    void changeIsReadWithFewRequestsToThePlatform() {
        startOne();
        long before = gateway.platform().reads();
        gateway.platform().publish("declarations/unused", "{}");
        Await.until("the change is read", () -> gateway.platform().reads() > before);
        assertThat(gateway.platform().reads() - before, lessThan(5L));
    }

    private void startOne() {
        gateway.upstream("a-s", "service", "read", request -> request.response().end("ok"));
        gateway.vm("a-1", "a").start();
    }

    private int status() {
        return gateway.call("a-1", "GET", READ, "").status();
    }

    private static String customers(String key) {
        return "{\"customers\":[" + Gateway.customer("c", key, "\"a\":1", 1_000, 10_000) + "]}";
    }
}
