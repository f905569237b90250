package io.vanillapoint.server.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.event.Event;
import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.server.testing.Await;
import io.vanillapoint.server.testing.CallerResponse;
import io.vanillapoint.server.testing.Gateway;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A request whose caller has left before it was dispatched is neither sent nor charged. */
class CancelledRequestTest {
    private static final String PUBLISH = "/services/publish/rota";

    private final Gateway gateway = new Gateway();
    private final AtomicInteger runs = new AtomicInteger();

    @AfterEach
    void stopGateway() {
        gateway.close();
    }

    /** The registration of the key waits for a home that has crashed; the caller leaves then. */
    @Test
    void requestCancelledBeforeItsDispatchIsNotForwarded() throws IOException {
        gateway.upstream(
                "b-one",
                "service",
                "publish",
                request -> request.response().end("run " + runs.incrementAndGet()));
        gateway.customers(Gateway.customer("c", Gateway.KEY, "\"a\":2,\"b\":1", 10_000, 100_000))
                .flags("--peer-timeout-ms=1500", "--traffic-threads=1")
                .vm("a-1", "a")
                .vm("a-2", "a")
                .vm("b-1", "b")
                .start();
        String key =
                gateway.call("a-1", "POST", "/idempotency-keys", "")
                        .json()
                        .path("idempotency_key")
                        .asText();
        assertThat(gateway.call("a-1", "POST", PUBLISH, "warm").status(), is(200));
        gateway.killVm("a-2");
        int admitted = ofFirstVm(EventCode.REQUEST_ADMITTED).size();
        int dispatched = ofFirstVm(EventCode.REQUEST_DISPATCHED).size();
        try (Socket socket = new Socket(Await.HOST, gateway.callers("a-1"))) {
            OutputStream out = socket.getOutputStream();
            out.write(requestWith(key).getBytes(StandardCharsets.US_ASCII));
            out.flush();
            Await.until(
                    "the request is admitted",
                    () -> ofFirstVm(EventCode.REQUEST_ADMITTED).size() > admitted);
        }
        int done = ofFirstVm(EventCode.REQUEST_DONE).size();
        Await.until("the request has ended", () -> ofFirstVm(EventCode.REQUEST_DONE).size() > done);
        List<Event> ends = ofFirstVm(EventCode.REQUEST_DONE);
        assertThat(ofFirstVm(EventCode.REQUEST_CANCELLED).size(), is(1));
        assertThat(ofFirstVm(EventCode.REQUEST_DISPATCHED).size(), is(dispatched));
        assertThat(ends.get(ends.size() - 1).values().get(2), is("0"));
        CallerResponse repeat =
                gateway.call(
                        "a-1",
                        "POST",
                        PUBLISH,
                        "rota",
                        "idempotency-key",
                        key,
                        "idempotency-attempt",
                        "1");
        assertThat(repeat.body(), is("run 2"));
    }

    private static String requestWith(String key) {
        return "POST "
                + PUBLISH
                + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                + Gateway.KEY
                + "\r\nIdempotency-Key: "
                + key
                + "\r\nIdempotency-Attempt: 1\r\nContent-Length: 4\r\n\r\nrota";
    }

    private List<Event> ofFirstVm(EventCode code) {
        return gateway.daemon("a-1").events().stream()
                .filter(event -> event.code() == code)
                .toList();
    }
}
