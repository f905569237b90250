package io.vanillapoint.core.attempt;

import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.RouteSpec;
import java.util.Optional;

/**
 * Decides when to try another replica beside that of an attempt.
 *
 * <p>Handles replicas that stop responding without closing connections, become slow, or keep a
 * stream open with occasional bytes. A slow stream that still delivers events is healthy and is
 * kept, however long its pauses; one that sends bytes but completes no event has stalled. Confined
 * to one thread.
 */
public final class AttemptMonitor {
    /** Fraction of the latency target after which the replica is first checked. */
    private static final double FIRST_CHECK_FRACTION = 0.55;

    /** A replica that has sent nothing on any connection for this long is considered down. */
    private static final long SILENCE_TIMEOUT_MILLIS = 400;

    /** The same for a relayed request; longer, since a retry has to come from another region. */
    private static final long RELAYED_SILENCE_TIMEOUT_MILLIS = 900;

    /** Lower bound of the time without an event after which a stream has stalled. */
    private static final long MIN_STALL_TIMEOUT_MILLIS = 1_000;

    /**
     * Stall timeout as a multiple of the target gap between events. Callers wait for twice as long,
     * so that another replica can resume the stream before they leave.
     */
    private static final int STALL_TIMEOUT_GAPS = 4;

    private final RouteSpec route;
    private final boolean relayed;
    private final long sentAtMillis;
    private long lastProgressMillis;
    private boolean headReceived;
    private boolean bytesWithoutEvent;

    /**
     * Creates a monitor for an attempt that is being sent.
     *
     * @param route route of the request
     * @param relayed true if the request comes from another region
     * @param nowMillis monotonic time
     */
    public AttemptMonitor(RouteSpec route, boolean relayed, long nowMillis) {
        this.route = route;
        this.relayed = relayed;
        sentAtMillis = nowMillis;
        lastProgressMillis = nowMillis;
    }

    /**
     * Delay of the first check of the replica.
     *
     * @return milliseconds after the request was sent
     */
    public long firstCheckMillis() {
        return Math.max(
                SILENCE_TIMEOUT_MILLIS, (long) (route.targetMillis() * FIRST_CHECK_FRACTION));
    }

    /**
     * Records that the response head has arrived.
     *
     * @param nowMillis monotonic time
     */
    public void headReceived(long nowMillis) {
        headReceived = true;
        lastProgressMillis = nowMillis;
    }

    /**
     * Records that bytes of a stream have arrived.
     *
     * @param completesEvent true if they completed an event
     * @param nowMillis monotonic time
     */
    public void bytesReceived(boolean completesEvent, long nowMillis) {
        bytesWithoutEvent = !completesEvent;
        if (completesEvent) {
            lastProgressMillis = nowMillis;
        }
    }

    /**
     * Tells whether another replica should be tried.
     *
     * @param lastReceivedMillis monotonic time at which the replica last sent anything to any
     *     request
     * @param nowMillis monotonic time
     * @return the reason, empty if the replica makes enough progress
     */
    public Optional<Reason> checkProgress(long lastReceivedMillis, long nowMillis) {
        long silentMillis = nowMillis - Math.max(lastReceivedMillis, sentAtMillis);
        if (silentMillis >= (relayed ? RELAYED_SILENCE_TIMEOUT_MILLIS : SILENCE_TIMEOUT_MILLIS)) {
            return Optional.of(Reason.SILENT);
        }
        long stallTimeoutMillis =
                Math.max(
                        MIN_STALL_TIMEOUT_MILLIS,
                        STALL_TIMEOUT_GAPS * (long) route.gapTargetMillis());
        if (bytesWithoutEvent && nowMillis - lastProgressMillis >= stallTimeoutMillis) {
            return Optional.of(Reason.STALLED);
        }
        boolean isSlow = route.kind() == RouteKind.IDEMPOTENT && !headReceived && !relayed;
        return isSlow ? Optional.of(Reason.SLOW) : Optional.empty();
    }

    /** Reason to try another replica. Immutable. */
    public enum Reason {
        /** The replica sends nothing on any connection. */
        SILENT("replica is silent"),
        /** The replica sends bytes that complete no event. */
        STALLED("stream has stalled"),
        /** The response to an idempotent request is late. */
        SLOW("replica is slow");

        private final String text;

        Reason(String text) {
            this.text = text;
        }

        /**
         * Text for the log.
         *
         * @return cause of the attempt's outcome
         */
        public String text() {
            return text;
        }
    }
}
