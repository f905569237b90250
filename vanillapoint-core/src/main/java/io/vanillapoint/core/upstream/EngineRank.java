package io.vanillapoint.core.upstream;

/**
 * Rank of a request among those of an engine, while load-aware placement is active. Immutable.
 *
 * <p>Engines order waiting requests by urgency alone. The major order is the priority of the
 * customer, or of the route if the customer has none; within it, requests of the service's most
 * urgent routes come before the others.
 *
 * @param urgency value sent to the engine, 0 to 9, 0 first
 * @param deferrable true if other routes of the service are more urgent
 */
public record EngineRank(int urgency, boolean deferrable) {
    /** Number of different urgencies. */
    static final int URGENCIES = 10;

    /** Urgency of the most urgent requests; lower values are reserved for operators. */
    private static final int MOST_URGENT = 2;

    /** Urgencies for each priority: one for the most urgent routes, one for all others. */
    private static final int URGENCY_STEP = 2;

    /**
     * Urgency by priority alone, as sent while load-aware placement is inactive.
     *
     * @param priority priority of the customer or route, 0 is the most urgent
     * @return 2 to 9
     */
    public static int urgency(int priority) {
        return Math.min(URGENCIES - 1, MOST_URGENT + URGENCY_STEP * priority);
    }

    /**
     * Rank of a request. Priorities from 4 on share the last urgency.
     *
     * @param priority priority of the customer, or of the route if the customer has none
     * @param relativePriority priority of the route above that of the service's most urgent one
     * @return the rank
     */
    static EngineRank of(int priority, int relativePriority) {
        int minor = Math.min(URGENCY_STEP - 1, relativePriority);
        return new EngineRank(
                Math.min(URGENCIES - 1, urgency(priority) + minor), relativePriority > 0);
    }
}
