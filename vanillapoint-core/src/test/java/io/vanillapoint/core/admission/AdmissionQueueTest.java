package io.vanillapoint.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.core.admission.AdmissionQueue.Ticket;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Order in which waiting requests get free slots. */
class AdmissionQueueTest {
    private static final CustomerId LARGE = new CustomerId("large");
    private static final CustomerId SMALL = new CustomerId("small");
    private static final long MAX_WAIT_MILLIS = 1_000;

    @Test
    void customerWithFewerRunningRequestsGoesFirst() {
        AdmissionQueue queue = new AdmissionQueue(2, 10, MAX_WAIT_MILLIS);
        Ticket first = queue.enter(0, LARGE, true).orElseThrow();
        queue.enter(0, LARGE, true);
        queue.enter(1, LARGE, true);
        Ticket small = queue.enter(2, SMALL, true).orElseThrow();
        assertThat(queue.remove(3, first), is(Optional.of(small)));
    }

    @Test
    void shortWorkGoesBeforeLongWork() {
        AdmissionQueue queue = new AdmissionQueue(1, 10, MAX_WAIT_MILLIS);
        Ticket first = queue.enter(0, LARGE, true).orElseThrow();
        queue.enter(1, LARGE, false);
        Ticket shortWork = queue.enter(2, LARGE, true).orElseThrow();
        assertThat(queue.remove(3, first), is(Optional.of(shortWork)));
    }

    @Test
    void longWorkIsNotStarved() {
        AdmissionQueue queue = new AdmissionQueue(1, 10, MAX_WAIT_MILLIS);
        Ticket first = queue.enter(0, LARGE, true).orElseThrow();
        Ticket longWork = queue.enter(0, LARGE, false).orElseThrow();
        queue.enter(MAX_WAIT_MILLIS / 2, SMALL, true);
        assertThat(queue.remove(MAX_WAIT_MILLIS / 2, first), is(Optional.of(longWork)));
    }

    @Test
    void waitingRequestExpiresAfterTheMaximumWait() {
        AdmissionQueue queue = new AdmissionQueue(1, 1, MAX_WAIT_MILLIS);
        queue.enter(0, LARGE, true);
        Ticket waiting = queue.enter(0, LARGE, true).orElseThrow();
        assertThat(queue.enter(0, SMALL, true), is(Optional.empty()));
        assertThat(queue.expire(MAX_WAIT_MILLIS), contains(waiting));
        assertThat(queue.waiting(), is(0));
    }

    @Test
    void cancelledWaitingRequestFreesNoSlot() {
        AdmissionQueue queue = new AdmissionQueue(1, 2, MAX_WAIT_MILLIS);
        queue.enter(0, LARGE, true);
        Ticket waiting = queue.enter(0, LARGE, true).orElseThrow();
        assertThat(queue.remove(1, waiting), is(Optional.empty()));
        assertThat(queue.running(), is(1));
    }
}
