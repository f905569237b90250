package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.attempt.AttemptOutcome;
import io.vanillapoint.core.upstream.CapacityEstimate;
import io.vanillapoint.core.upstream.CapacityForecast;
import io.vanillapoint.core.upstream.Placement;
import io.vanillapoint.core.upstream.PlacementQuery;
import io.vanillapoint.core.upstream.RefusalReason;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Searches places for the attempts of one request, without those that it has tried. Confined to one
 * event loop.
 */
final class PlacementSearch {
    private static final long MIN_RETRY_AFTER_MILLIS = 300;

    private final EntryContext context;
    private final RequestPlan plan;
    private final BooleanSupplier begun;
    private final Set<String> tried = new HashSet<>();
    private final Set<RegionId> leftOutRegions = new HashSet<>();
    private boolean judged;
    private boolean returned;

    /**
     * Creates a search.
     *
     * @param begun tells whether the caller has the beginning of the response; its latency target
     *     no longer counts then
     */
    PlacementSearch(EntryContext context, RequestPlan plan, BooleanSupplier begun) {
        this.context = context;
        this.plan = plan;
        this.begun = begun;
    }

    /** Chooses a place for the next attempt. */
    Placement choose(long nowMillis) {
        PlacementQuery query = query(nowMillis);
        Placement placement = context.chooser().choose(query, nowMillis);
        if (!forecasts(nowMillis)) {
            return placement;
        }
        if (placement instanceof Placement.Refuse refuse) {
            boolean quiet = refuse.reason() == RefusalReason.REPLICAS_QUIET;
            return quiet ? refuse : new Placement.Refuse(refuse.reason(), 0);
        }
        return fitsBesideReservations(placement, query, nowMillis)
                ? placement
                : new Placement.Refuse(RefusalReason.TOO_LATE, 0);
    }

    /**
     * Tells whether a request that has just arrived has to be refused, so that the event loop,
     * which is behind, takes no more time for it. It has waited unread for about as long as the
     * loop is behind.
     */
    boolean refusedOnArrival(long nowMillis, long shortestMillis) {
        long delayMillis = context.gate().receiveDelayMillis();
        return delayMillis > 0
                && forecasts(nowMillis)
                && (plan.deadlineMillis() - nowMillis < shortestMillis
                        || delayMillis > context.chooser().longestMillis(query(nowMillis)));
    }

    /** A VM that runs a relayed request leaves its return time to the relaying VM. */
    private boolean forecasts(long nowMillis) {
        return !plan.relayed() && context.pool().loadAwareness().active(nowMillis);
    }

    /**
     * Tells whether a new request leaves the capacity that is reserved for requests that are to
     * return within its target.
     */
    private boolean fitsBesideReservations(
            Placement placement, PlacementQuery query, long nowMillis) {
        CapacityForecast forecast = context.chooser().forecast();
        if (!judged) {
            judged = true;
            long timeGiven = plan.deadlineMillis() - plan.receivedAtMillis();
            long lostMillis = plan.route().timeoutMillis() - timeGiven;
            returned = forecast.redeem(kind(), lostMillis, nowMillis);
        }
        if (returned || !tried.isEmpty()) {
            return true;
        }
        long targetMillis = (long) plan.route().targetMillis();
        double aheadMillis =
                query.elapsedMillis() + forecast.reservedMillis(kind(), targetMillis, nowMillis);
        return expectedMillis(placement) + aheadMillis <= context.chooser().longestMillis(query);
    }

    private static long expectedMillis(Placement placement) {
        if (placement instanceof Placement.Local local) {
            return local.expectedMillis();
        }
        return placement instanceof Placement.Relay relay ? relay.expectedMillis() : 0;
    }

    private String kind() {
        return plan.service().name() + "/" + plan.route().name();
    }

    /** Tells whether there is a place for another attempt. */
    boolean finds(long nowMillis) {
        return !(choose(nowMillis) instanceof Placement.Refuse);
    }

    /**
     * Time after which a replica may accept the request. If load is taken into account, capacity is
     * reserved for its return; all VMs that retry are assumed to refuse as many requests as this
     * one.
     */
    long retryAfterMillis(long nowMillis) {
        if (forecasts(nowMillis)) {
            CapacityEstimate estimate = context.chooser().estimate(query(nowMillis), nowMillis);
            double occupancyMillis = estimate.occupancyMillis() * context.retries().vmCount();
            return context.chooser()
                    .forecast()
                    .reserve(
                            kind(),
                            new CapacityEstimate(estimate.availableMillis(), occupancyMillis),
                            plan.deadlineMillis() - nowMillis,
                            nowMillis);
        }
        long backoffMillis = context.chooser().backoffMillis(query(nowMillis), nowMillis);
        return Math.max(MIN_RETRY_AFTER_MILLIS, backoffMillis);
    }

    /** Leaves out a replica that was tried. */
    void tried(String replica) {
        tried.add(replica);
    }

    /** Leaves out the VM, or the other region, of an attempt that it could not run. */
    void ended(RunningAttempt attempt, AttemptOutcome outcome, long nowMillis) {
        boolean notPlaced = outcome == AttemptOutcome.NOT_PLACED;
        if (!notPlaced && outcome != AttemptOutcome.NOT_PERMITTED) {
            return;
        }
        if (attempt.region().equals(context.fleet().self().region())) {
            tried.add(attempt.target());
        } else {
            leftOutRegions.add(attempt.region());
        }
        if (notPlaced) {
            context.chooser()
                    .relayNotPlaced(
                            plan.service().name(), attempt.region(), attempt.target(), nowMillis);
        }
    }

    private PlacementQuery query(long nowMillis) {
        return new PlacementQuery(
                plan.route(),
                plan.service(),
                plan.envelope().prompt(),
                plan.body().length(),
                region -> plan.allowedIn(region) && !leftOutRegions.contains(region),
                tried,
                !plan.relayed(),
                begun.getAsBoolean() ? 0 : nowMillis - plan.receivedAtMillis(),
                plan.deadlineMillis() - nowMillis,
                plan.rank(context.pool().loadAwareness(), nowMillis));
    }
}
