package io.vanillapoint.emulator.scenario;

/**
 * A kind of generation request. Immutable.
 *
 * @param name name for tables
 * @param share weight among all kinds
 * @param commonTokens tokens of the prompt prefix that all sessions share
 * @param sessionTokens mean tokens of the part that the requests of a session share
 * @param sessions number of sessions
 * @param ownTokens mean tokens of the part that only one request has
 * @param events mean number of events of the answer
 * @param targetMillis time to the first event up to which an answer is in time
 * @param deadlineMillis time after which callers give up
 * @param worth worth of an answer in time
 * @param lateWorth worth of a late answer
 * @param priority priority, 0 is the most urgent
 * @param bodyBytes size of the request body
 */
public record RequestKind(
        String name,
        double share,
        long commonTokens,
        double sessionTokens,
        int sessions,
        double ownTokens,
        double events,
        int targetMillis,
        int deadlineMillis,
        double worth,
        double lateWorth,
        int priority,
        int bodyBytes) {}
