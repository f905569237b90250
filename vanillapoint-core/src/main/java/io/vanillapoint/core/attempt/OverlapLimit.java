package io.vanillapoint.core.attempt;

import java.util.OptionalDouble;

/**
 * Bounds the time for which two engines may work on the same event stream.
 *
 * <p>Handles an engine that is silent for a while, a second one that has begun to work on the
 * stream and is too slow to deliver an event soon, and connections that lose the packet which
 * closes them. Stateless.
 */
public final class OverlapLimit {
    /** Time for which two engines may work on one stream, by the rules of the platform. */
    private static final long ALLOWED_MILLIS = 400;

    /**
     * Time that a cancellation may need beyond the round trips: one retransmission of a lost packet
     * (the kernel's shortest retransmission timeout is 200 ms), and timers and event loops that are
     * late by some tens of milliseconds.
     */
    private static final long CANCELLATION_MILLIS = 250;

    /** Lateness of the event loop of another VM, through which an attempt was made. */
    private static final long RELAY_MILLIS = 25;

    private OverlapLimit() {}

    /**
     * Time after which the first attempt is cancelled, if none has delivered an event by then.
     *
     * <p>Both round trips are subtracted as a whole, although only half of each counts: the second
     * engine began before its head arrived here, and the first one works until the cancellation has
     * reached it.
     *
     * @param firstRoundTripMillis round-trip time to the VM that runs the first attempt, empty if
     *     this VM has sent it to the engine itself
     * @param secondRoundTripMillis the same for the second attempt
     * @return milliseconds from the arrival of the head of the second attempt's response, 0 or more
     */
    public static long cancelAfterMillis(
            OptionalDouble firstRoundTripMillis, OptionalDouble secondRoundTripMillis) {
        double budgetMillis =
                (double) ALLOWED_MILLIS
                        - CANCELLATION_MILLIS
                        - relayMillis(firstRoundTripMillis)
                        - relayMillis(secondRoundTripMillis);
        return (long) Math.max(0, budgetMillis);
    }

    private static double relayMillis(OptionalDouble roundTripMillis) {
        return roundTripMillis.isPresent() ? roundTripMillis.getAsDouble() + RELAY_MILLIS : 0;
    }
}
