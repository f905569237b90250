package io.vanillapoint.core.upstream;

import io.vanillapoint.core.fleet.FleetView;
import io.vanillapoint.core.fleet.UpstreamUse;
import io.vanillapoint.core.hash.Rendezvous;
import io.vanillapoint.core.prompt.PromptSummary;
import io.vanillapoint.core.published.EngineSpec;
import java.util.HashMap;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Limits the unprocessed prompt tokens of deferrable requests at each engine.
 *
 * <p>Handles long prompts that arrive faster than engines process them while more urgent requests
 * need the same engines. Each step with a chunk of a prompt takes several times as long as one
 * without, so the running requests keep their places in the batch for longer, and urgent requests
 * queue although their own prompts are short. The limit is the number of tokens that an engine
 * processes in half of the shortest target of the more urgent routes; it falls as urgent requests
 * fill the batch.
 *
 * <p>Invariant: while requests of a kind arrive, at most {@link #FLOOR_MILLIS} pass from one that
 * this VM places to the next that the limit does not refuse. The kinds are bounded by the routes of
 * the configuration and {@link #SIZES}. Confined to one thread.
 */
public final class LongPromptLimit {
    /**
     * Time without a placed request after which the next one of a kind passes. The floor is two
     * seconds; the rest is for the next request to arrive.
     */
    static final long FLOOR_MILLIS = 1_500;

    /** Kinds by size: up to 1,024 tokens to process, up to 2,048, and so on. */
    static final int SIZES = 8;

    private static final int SMALLEST_SIZE_BITS = 10;

    /** Part of the target of urgent requests for which they may be delayed. */
    private static final double DELAY_PART = 0.5;

    /** Part of the batch up to which urgent requests leave the limit as it is. */
    private static final double FREE_BATCH_PART = 0.5;

    /** Routes of earlier configurations are dropped from this number of kinds on. */
    private static final int MAX_KINDS = 1_024;

    /** Other VMs are noticed with their heartbeats, one each 200 ms. */
    private static final long REFRESH_MILLIS = 200;

    /**
     * Whether an engine has capacity for a deferrable request. The losses are below that for
     * processing the shared parts of a long prompt again, so that a request does not leave the
     * engine that has its parts cached. Immutable.
     */
    enum Headroom {
        /** The request fits in the limit, or it is not deferrable. */
        FREE(0),
        /** The request does not fit, but urgent requests leave much of the batch free. */
        OVER_LIMIT(0.02),
        /** The request does not fit, and urgent requests need the engine. */
        NEEDED_BY_URGENT(0.1);

        private final double loss;

        Headroom(double loss) {
            this.loss = loss;
        }

        /** Loss for a request that is placed there all the same. */
        double loss() {
            return loss;
        }
    }

    /** What the limit decides about a request. Immutable. */
    enum Verdict {
        /** The request may be placed. */
        PLACE,
        /**
         * The request may be placed although the limit is reached, since its kind must not starve.
         */
        PLACE_BY_FLOOR,
        /** The request is refused. */
        REFUSE
    }

    private final FleetView fleet;
    private final LoadAwareness awareness;

    /** When the last request of a kind was placed, or the first one arrived. */
    private final Map<Kind, Long> placedAtMillis = new HashMap<>();

    private int vms = 1;
    private long vmsCountedMillis = Long.MIN_VALUE / 2;

    LongPromptLimit(FleetView fleet, LoadAwareness awareness) {
        this.fleet = fleet;
        this.awareness = awareness;
    }

    /**
     * Notices whether this VM still hears others. A VM that hears none of its region uses its part
     * of the limit only.
     */
    void refresh(long nowMillis) {
        if (nowMillis - vmsCountedMillis >= REFRESH_MILLIS) {
            vmsCountedMillis = nowMillis;
            vms = fleet.trafficVmsWhileAlone(nowMillis);
        }
    }

    /**
     * Tells whether an engine has capacity for a request.
     *
     * @param query the request
     * @param engine id of the engine
     * @param use work of all VMs at the engine, without the request
     * @param uncachedTokens prompt tokens that the engine has to process for the request
     * @param tokensPerMilli speed of the engine
     */
    Headroom headroom(
            PlacementQuery query,
            String engine,
            UpstreamUse use,
            long uncachedTokens,
            double tokensPerMilli) {
        OptionalInt target = awareness.urgentTargetMillis(query.route(), query.service().name());
        if (target.isEmpty()) {
            return Headroom.FREE;
        }
        int slots = query.service().engine().map(EngineSpec::slots).orElse(1);
        int urgentRequests = Math.max(0, use.requests() - use.deferrableRequests());
        double freePart = (slots - 1 - urgentRequests) / (slots * FREE_BATCH_PART);
        double share = Math.min(1, Math.max(0, freePart));
        double limit = DELAY_PART * target.getAsInt() * tokensPerMilli * share / vms;
        boolean first = share > 0 && use.deferrablePromptTokens() <= 0 && mayBeFirst(engine);
        if (first || use.deferrablePromptTokens() + uncachedTokens <= limit) {
            return Headroom.FREE;
        }
        return share < 1 ? Headroom.NEEDED_BY_URGENT : Headroom.OVER_LIMIT;
    }

    /**
     * A prompt that exceeds the limit on its own may still run alone. VMs that don't hear each
     * other divide the engines for such prompts by chance.
     */
    private boolean mayBeFirst(String engine) {
        long weight = Rendezvous.weight(engine, fleet.self().vm());
        return Long.remainderUnsigned(weight, vms) == 0;
    }

    /**
     * Decides about a request whose best engine was found. A relayed request passes: the VM that
     * relayed it has applied the limit, and a refusal would close this region for urgent requests
     * too.
     */
    Verdict judge(PlacementQuery query, Candidate best, long nowMillis) {
        if (query.rank().filter(EngineRank::deferrable).isEmpty()) {
            return Verdict.PLACE;
        }
        boolean inTime =
                best.expectedMillis + query.elapsedMillis() <= query.route().targetMillis();
        boolean passes =
                best.headroom == Headroom.FREE
                        || !query.mayRelay()
                        || (best.headroom == Headroom.OVER_LIMIT && inTime);
        if (passes) {
            return Verdict.PLACE;
        }
        Long placed = placedAtMillis.putIfAbsent(Kind.of(query), nowMillis);
        return placed != null && nowMillis - placed >= FLOOR_MILLIS
                ? Verdict.PLACE_BY_FLOOR
                : Verdict.REFUSE;
    }

    /** Records that a request was placed. */
    void placed(PlacementQuery query, long nowMillis) {
        if (query.rank().filter(EngineRank::deferrable).isPresent()) {
            if (placedAtMillis.size() >= MAX_KINDS) {
                placedAtMillis.clear();
            }
            placedAtMillis.put(Kind.of(query), nowMillis);
        }
    }

    /**
     * Unprocessed prompt tokens of deferrable requests of all VMs, at each replica of this region.
     *
     * @param pool replicas
     * @param fleet other VMs and their outstanding load
     * @return sum and maximum over the replicas, 0 while load-aware placement is inactive
     */
    public static LongSummaryStatistics tokensPerEngine(UpstreamPool pool, FleetView fleet) {
        return pool.replicas().stream()
                .filter(replica -> replica.region().equals(fleet.self().region()))
                .map(replica -> replica.outstanding().plus(fleet.otherVmUse(replica.info().id())))
                .mapToLong(UpstreamUse::deferrablePromptTokens)
                .summaryStatistics();
    }

    /** Requests of one route and of similar size. */
    private record Kind(String route, int size) {
        static Kind of(PlacementQuery query) {
            long tokens = query.prompt().map(PromptSummary::promptTokens).orElse(0L);
            int bits = Long.SIZE - Long.numberOfLeadingZeros(tokens >> SMALLEST_SIZE_BITS);
            return new Kind(query.route().name(), Math.min(SIZES - 1, bits));
        }
    }
}
