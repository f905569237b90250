package io.vanillapoint.entry;

import io.vanillapoint.entry.control.StopSchedule;
import io.vanillapoint.entry.traffic.EntryContext;
import io.vanillapoint.entry.traffic.RequestPlan;
import java.util.OptionalLong;

/**
 * Refuses requests that a stopping VM would cut.
 *
 * <p>Invariant: refuses nothing before the stop request, and everything once the process ends.
 * Confined to one event loop.
 */
final class DrainAdmission {
    private final EntryContext context;
    private final StopSchedule schedule;
    private OptionalLong stopRequestedAtMillis = OptionalLong.empty();
    private boolean ending;

    DrainAdmission(EntryContext context, StopSchedule schedule) {
        this.context = context;
        this.schedule = schedule;
    }

    /** Records the stop request. */
    void stopRequested() {
        stopRequestedAtMillis = OptionalLong.of(now());
    }

    /** Refuses all requests from now on: the last connections may still deliver some. */
    void end() {
        ending = true;
    }

    /** Time since the stop request, 0 before it. */
    long elapsedMillis() {
        return stopRequestedAtMillis.isPresent() ? now() - stopRequestedAtMillis.getAsLong() : 0;
    }

    /** Tells whether the process ends. */
    boolean ending() {
        return ending;
    }

    /**
     * Tells whether a relayed request is admitted. The relaying VM goes on with a request that may
     * run again if this one is cut; it can place any other one elsewhere only now.
     */
    boolean admitsRelayed(RequestPlan plan) {
        return stopRequestedAtMillis.isEmpty()
                || (plan.route().mayRunAgain()
                        ? admits(plan.deadlineMillis())
                        : !ending && schedule.finishes(elapsedMillis(), remainingMillis(plan)));
    }

    /** Tells whether a request with this deadline, a monotonic time, is admitted. */
    boolean admits(long deadlineMillis) {
        return stopRequestedAtMillis.isEmpty()
                || (!ending && schedule.admits(elapsedMillis(), deadlineMillis - now()));
    }

    private long remainingMillis(RequestPlan plan) {
        return plan.deadlineMillis() - now();
    }

    private long now() {
        return context.clock().getAsLong();
    }
}
