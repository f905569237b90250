package io.vanillapoint.core.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Services whose replicas announced that they crash if they have to reject more than so many
 * requests in a second.
 *
 * <p>Handles an overload of such replicas, in which rejections would make them crash one after the
 * other: a VM that was rejected backs off from the replica until its part of the limit, as one of
 * the VMs of the region, allows another rejection. VMs that have not sent to the replicas learn of
 * the limit from heartbeats. Invariants: an announcement ends by its age; what a VM learned from a
 * heartbeat, it does not report. Confined to one thread.
 */
final class RejectionLimits {
    /** Replicas repeat the announcement in all their responses. */
    private static final long ANNOUNCEMENT_MILLIS = 5_000;

    /** Age up to which heartbeats report an announcement; allows for lost heartbeats. */
    private static final long REPORTED_MILLIS = 1_000;

    /** Period for which a limit counts rejections. */
    private static final long PERIOD_MILLIS = 1_000;

    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final Map<String, Announcement> announcements = new HashMap<>();

    /**
     * Records an announcement.
     *
     * @param service name of the service
     * @param perSecond rejections in a second that a replica survives
     * @param nowMillis monotonic time
     * @return true if the limit is new or has changed
     */
    boolean announced(String service, int perSecond, long nowMillis) {
        OptionalInt known = limit(service, nowMillis);
        announcements.put(service, new Announcement(perSecond, nowMillis, nowMillis));
        return known.isEmpty() || known.getAsInt() != perSecond;
    }

    /**
     * Records the announcements that another VM has received.
     *
     * @param limits rejections in a second that a replica survives, by service
     * @param nowMillis monotonic time
     */
    void merge(Map<String, Integer> limits, long nowMillis) {
        limits.forEach(
                (service, perSecond) ->
                        announcements.merge(
                                service,
                                new Announcement(perSecond, nowMillis, NEVER_MILLIS),
                                (known, newer) ->
                                        new Announcement(
                                                perSecond, nowMillis, known.receivedAtMillis)));
    }

    /**
     * Announcements that this VM has received from replicas, for the heartbeat.
     *
     * @param nowMillis monotonic time
     * @return new map of rejections in a second that a replica survives, by service
     */
    Map<String, Integer> received(long nowMillis) {
        Map<String, Integer> limits = new HashMap<>();
        announcements.forEach(
                (service, announcement) -> {
                    if (nowMillis - announcement.receivedAtMillis <= REPORTED_MILLIS) {
                        limits.put(service, announcement.perSecond);
                    }
                });
        return limits;
    }

    /**
     * The limit in force.
     *
     * @param service name of the service
     * @param nowMillis monotonic time
     * @return rejections in a second that a replica survives, empty if none was announced
     */
    OptionalInt limit(String service, long nowMillis) {
        Announcement announcement = announcements.get(service);
        return announcement == null || nowMillis - announcement.atMillis > ANNOUNCEMENT_MILLIS
                ? OptionalInt.empty()
                : OptionalInt.of(announcement.perSecond);
    }

    /**
     * Time for which a VM backs off from a replica that has rejected it.
     *
     * @param service name of the service
     * @param senders maximum number of VMs that send to the replica
     * @param nowMillis monotonic time
     * @return milliseconds, empty if no limit is in force
     */
    OptionalLong backoffMillis(String service, int senders, long nowMillis) {
        OptionalInt limit = limit(service, nowMillis);
        if (limit.isEmpty()) {
            return OptionalLong.empty();
        }
        long turns = (senders + Math.max(1L, limit.getAsInt()) - 1) / Math.max(1, limit.getAsInt());
        return OptionalLong.of(PERIOD_MILLIS * Math.max(1, turns));
    }

    /**
     * An announced limit. Immutable.
     *
     * @param perSecond the limit
     * @param atMillis when this VM last learned of it
     * @param receivedAtMillis when this VM last received it from a replica
     */
    private record Announcement(int perSecond, long atMillis, long receivedAtMillis) {}
}
