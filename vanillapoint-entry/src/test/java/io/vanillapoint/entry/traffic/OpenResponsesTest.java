package io.vanillapoint.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Promise;
import org.junit.jupiter.api.Test;

/** Open responses that a stopping VM waits for. */
class OpenResponsesTest {
    private final OpenResponses open = new OpenResponses();

    @Test
    void responseIsOpenUntilItsLastBytesAreWritten() {
        Object response = new Object();
        Promise<Void> written = Promise.promise();
        open.add(response);
        open.removeAfter(response, written.future());
        assertThat(open.count(), is(1));
        written.complete();
        assertThat(open.count(), is(0));
    }

    @Test
    void responseOfALostConnectionIsNotAwaited() {
        Object failed = new Object();
        Object closed = new Object();
        Promise<Void> written = Promise.promise();
        open.add(failed);
        open.add(closed);
        open.removeAfter(failed, written.future());
        written.fail("connection reset");
        open.remove(closed);
        assertThat(open.count(), is(0));
    }
}
