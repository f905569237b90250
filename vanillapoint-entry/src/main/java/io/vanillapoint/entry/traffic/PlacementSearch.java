package io.vanillapoint.entry.traffic;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.attempt.AttemptOutcome;
import io.vanillapoint.core.upstream.Placement;
import io.vanillapoint.core.upstream.PlacementQuery;
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
        return context.chooser().choose(query(nowMillis), nowMillis);
    }

    /** Tells whether there is a place for another attempt. */
    boolean finds(long nowMillis) {
        return !(choose(nowMillis) instanceof Placement.Refuse);
    }

    /** Time after which a replica may accept the request. */
    long retryAfterMillis(long nowMillis) {
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
