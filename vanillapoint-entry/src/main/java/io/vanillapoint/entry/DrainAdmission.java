package io.vanillapoint.entry;

import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.entry.control.StopSchedule;
import io.vanillapoint.entry.traffic.RequestPlan;
import io.vanillapoint.entry.traffic.RouteDurations;
import java.util.OptionalLong;
import java.util.function.LongSupplier;

/**
 * Refuses requests that a stopping VM would cut.
 *
 * <p>Invariant: refuses nothing before the stop request, and everything once the process ends.
 * Confined to one event loop.
 */
final class DrainAdmission {
    private final FleetView fleet;
    private final LongSupplier clock;
    private final StopSchedule schedule;
    private final RouteDurations durations;
    private OptionalLong stopRequestedAtMillis = OptionalLong.empty();
    private boolean ending;

    DrainAdmission(
            FleetView fleet, LongSupplier clock, StopSchedule schedule, RouteDurations durations) {
        this.fleet = fleet;
        this.clock = clock;
        this.schedule = schedule;
        this.durations = durations;
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
                        ? mayEnd(plan)
                        : !ending && schedule.finishes(elapsedMillis(), remainingMillis(plan)));
    }

    /**
     * Tells whether a caller's request is admitted. One that may run only once and probably lasts
     * longer than this VM is left to another VM; if none accepts requests, most of them end in time
     * all the same.
     */
    boolean admits(RequestPlan plan) {
        return stopRequestedAtMillis.isEmpty()
                || (mayEnd(plan)
                        && (plan.route().mayRunAgain()
                                || endsInTime(plan)
                                || !anotherVmAccepts(plan)));
    }

    private boolean mayEnd(RequestPlan plan) {
        return !ending && schedule.admits(elapsedMillis(), remainingMillis(plan));
    }

    private boolean endsInTime(RequestPlan plan) {
        long expectedMillis = durations.longMillis(plan.route().name()).orElse(0);
        return schedule.finishes(elapsedMillis(), Math.min(expectedMillis, remainingMillis(plan)));
    }

    private boolean anotherVmAccepts(RequestPlan plan) {
        return fleet.members().stream()
                .anyMatch(
                        member ->
                                member.info().state().acceptsRequests()
                                        && plan.allowedIn(member.info().region())
                                        && fleet.alive(member, now()));
    }

    private long remainingMillis(RequestPlan plan) {
        return plan.deadlineMillis() - now();
    }

    private long now() {
        return clock.getAsLong();
    }
}
