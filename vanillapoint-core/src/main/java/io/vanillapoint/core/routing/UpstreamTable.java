package io.vanillapoint.core.routing;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import io.vanillapoint.api.model.GatewayConfig;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.Upstream;
import io.vanillapoint.api.model.UpstreamId;
import io.vanillapoint.api.plugin.UpstreamCandidate;
import io.vanillapoint.core.message.RouteTarget;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One VM's state of the upstreams: requests in flight, reported loads and ejections after failures.
 *
 * <p>Invariant: leaving and ejected upstreams are never candidates; counts of running requests are
 * never negative. Confined to one thread; times are monotonic.
 */
public final class UpstreamTable {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long INITIAL_EJECTION_MILLIS = 2_000;
    private static final long MAX_EJECTION_MILLIS = 60_000;
    private static final double REPORT_TTL_MILLIS = 5_000;

    private final EventSink events;
    private final Map<UpstreamId, State> states = new HashMap<>();
    private GatewayConfig config = GatewayConfig.empty();

    /**
     * Creates an empty table.
     *
     * @param events sink for events
     */
    public UpstreamTable(EventSink events) {
        this.events = events;
    }

    /**
     * Applies a configuration.
     *
     * @param newConfig configuration with the platform's list of upstreams
     */
    public void configure(GatewayConfig newConfig) {
        config = newConfig;
    }

    /**
     * Upstreams that may be chosen.
     *
     * @param nowMillis time
     * @param target model or service
     * @param region region to look in
     * @param excluded upstreams that this request has tried
     * @return candidates in the order of their names
     */
    public List<UpstreamCandidate> candidates(
            long nowMillis, RouteTarget target, RegionId region, Set<UpstreamId> excluded) {
        List<UpstreamCandidate> candidates = new ArrayList<>();
        for (Upstream upstream : config.upstreams()) {
            boolean matches = serves(upstream, target) && upstream.region().equals(region);
            if (matches
                    && !excluded.contains(upstream.id())
                    && !isEjected(nowMillis, upstream.id())) {
                candidates.add(candidate(nowMillis, upstream));
            }
        }
        return candidates;
    }

    /**
     * Load of the least loaded upstream of a region.
     *
     * @param nowMillis time
     * @param target model or service
     * @param region region to look in
     * @return requests per unit of capacity, infinite if no upstream accepts new requests
     */
    public double lowestLoad(long nowMillis, RouteTarget target, RegionId region) {
        return candidates(nowMillis, target, region, Set.of()).stream()
                .mapToDouble(UpstreamCandidate::load)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /**
     * Tells whether a region has an upstream that accepts new requests, even if it is ejected.
     *
     * @param target model or service
     * @param region region to look in
     * @return true if the configuration lists one
     */
    public boolean isServedIn(RouteTarget target, RegionId region) {
        return config.upstreams().stream()
                .anyMatch(up -> serves(up, target) && up.region().equals(region));
    }

    /**
     * Records the start of a request.
     *
     * @param upstream upstream that runs it
     * @param tokens tokens reserved for it
     */
    public void begin(UpstreamId upstream, long tokens) {
        State state = state(upstream);
        state.running++;
        state.tokens += tokens;
    }

    /**
     * Records the end of a request.
     *
     * @param nowMillis time
     * @param upstream upstream that ran it
     * @param tokens tokens reserved for it
     * @param succeeded false if the upstream failed
     */
    public void end(long nowMillis, UpstreamId upstream, long tokens, boolean succeeded) {
        State state = state(upstream);
        state.running = Math.max(0, state.running - 1);
        state.tokens = Math.max(0, state.tokens - tokens);
        if (succeeded) {
            state.failures = 0;
            state.ejections = 0;
            return;
        }
        state.failures++;
        if (state.failures >= FAILURES_TO_EJECT) {
            eject(nowMillis, upstream, state);
        }
    }

    /**
     * Records an upstream's report of its own load. Requests of this VM are subtracted, since their
     * current number is known here without a lag.
     *
     * @param nowMillis time
     * @param upstream upstream that reports
     * @param requests number of requests that it runs for all VMs
     */
    public void report(long nowMillis, UpstreamId upstream, double requests) {
        State state = state(upstream);
        state.otherRequests = Math.max(0, requests - state.running);
        state.reportedAtMillis = nowMillis;
    }

    private UpstreamCandidate candidate(long nowMillis, Upstream upstream) {
        State state = state(upstream.id());
        double age = nowMillis - state.reportedAtMillis;
        double reportWeight = Math.max(0, 1 - age / REPORT_TTL_MILLIS);
        return new UpstreamCandidate(
                upstream,
                state.running,
                state.tokens,
                state.running + state.otherRequests * reportWeight);
    }

    private void eject(long nowMillis, UpstreamId upstream, State state) {
        long millis = Math.min(MAX_EJECTION_MILLIS, INITIAL_EJECTION_MILLIS << state.ejections);
        state.ejectedUntilMillis = nowMillis + millis;
        state.ejections = Math.min(state.ejections + 1, Byte.SIZE);
        state.failures = FAILURES_TO_EJECT - 1;
        events.record(EventCode.UPSTREAM_EJECTED, upstream, millis);
    }

    private boolean isEjected(long nowMillis, UpstreamId upstream) {
        State state = states.get(upstream);
        return state != null && nowMillis < state.ejectedUntilMillis;
    }

    private static boolean serves(Upstream upstream, RouteTarget target) {
        return upstream.kind() == target.kind()
                && upstream.serves().contains(target.name())
                && upstream.state().acceptsRequests();
    }

    private State state(UpstreamId upstream) {
        return states.computeIfAbsent(upstream, id -> new State());
    }

    /** State of one upstream. */
    private static final class State {
        private int running;
        private long tokens;
        private int failures;
        private int ejections;
        private long ejectedUntilMillis = Long.MIN_VALUE;
        private double otherRequests;
        private long reportedAtMillis;
    }
}
