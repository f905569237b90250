package io.vanillapoint.emulator.scenario;

/**
 * A kind of generation. Immutable.
 *
 * @param name name for tables
 * @param share part of all requests, relative to the other kinds
 * @param commonTokens tokens of the part that all its sessions share
 * @param sessionTokens mean tokens of a session's own shared part
 * @param sessions number of sessions
 * @param ownTokens mean tokens of a request's last part
 * @param events mean number of events of the answer
 * @param targetMillis time to the first event that is on time
 * @param deadlineMillis time for which callers wait
 * @param worth worth of an answer in time
 * @param lateWorth worth of a late answer
 * @param priority rank, 0 is the most urgent
 * @param bodyBytes bytes of a request
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
