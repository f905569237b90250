package io.vanillapoint.emulator;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.prompt.PromptShape;
import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceShare;
import io.vanillapoint.core.upstream.Placement;
import io.vanillapoint.core.upstream.PlacementQuery;
import io.vanillapoint.core.upstream.ReplicaTracker;
import io.vanillapoint.emulator.engine.EngineModel;
import io.vanillapoint.emulator.engine.Generation;
import io.vanillapoint.emulator.report.KindResult;
import io.vanillapoint.emulator.scenario.RequestKind;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * A caller with one request: retries once after a refusal and gives up at its deadline.
 *
 * <p>Invariant: exactly one outcome is recorded. Confined to one thread.
 */
final class CallerModel {
    private static final int FIRST_URGENCY = 2;
    private static final int URGENCY_STEP = 2;

    private final VirtualTime time;
    private final FleetModel fleet;
    private final PlacementPolicy policy;
    private final RequestKind kind;
    private final PromptShape prompt;
    private final long answerTokens;
    private final KindResult[] results;
    private final LongConsumer crossed;
    private final RouteSpec route;
    private final double startedAt;
    private final Set<String> tried = new HashSet<>();
    private boolean cameBack;
    private boolean counted;
    private Generation generation;

    CallerModel(
            VirtualTime time,
            FleetModel fleet,
            PlacementPolicy policy,
            RequestKind kind,
            PromptShape prompt,
            long answerTokens,
            KindResult[] results,
            LongConsumer crossed) {
        this.time = time;
        this.fleet = fleet;
        this.policy = policy;
        this.kind = kind;
        this.prompt = prompt;
        this.answerTokens = answerTokens;
        this.results = results;
        this.crossed = crossed;
        this.startedAt = time.millis();
        this.route =
                new RouteSpec(
                        kind.name(),
                        "h",
                        "/",
                        RouteKind.EVENT_STREAM,
                        kind.deadlineMillis(),
                        kind.targetMillis(),
                        0,
                        kind.priority(),
                        List.of(new ServiceShare(FleetModel.SERVICE, 1)),
                        1,
                        false,
                        true,
                        false,
                        Set.of());
    }

    void start(VmModel vm) {
        time.after(kind.deadlineMillis(), this::leave);
        ask(vm, vm, 0, true);
    }

    private void ask(VmModel caller, VmModel vm, double wayBackMillis, boolean mayRelay) {
        if (counted) {
            return;
        }
        long now = time.now();
        Placement placement = policy.choose(vm, query(mayRelay), now);
        if (placement instanceof Placement.Local local) {
            send(caller, vm, local, wayBackMillis);
        } else if (placement instanceof Placement.Relay relay) {
            relay(caller, vm, relay.region());
        } else if (placement instanceof Placement.Refuse refuse) {
            time.after(wayBackMillis, () -> refused(caller, refuse.retryAfterMillis()));
        }
    }

    private void relay(VmModel caller, VmModel vm, RegionId region) {
        List<MemberInfo> relays = vm.view().relays(region, time.now());
        VmModel other = fleet.vm(relays.get(vm.random().nextInt(relays.size())));
        if (fleet.cut(vm.region(), region)) {
            count(result -> result.failed(kind.worth()));
            return;
        }
        crossed.accept(kind.bodyBytes());
        double delay = fleet.delayMillis(vm.region(), region);
        time.after(delay, () -> ask(caller, other, delay, false));
    }

    private void send(VmModel caller, VmModel vm, Placement.Local local, double wayBackMillis) {
        ReplicaTracker replica = local.replica();
        String id = replica.info().id();
        tried.add(id);
        long sentAt = time.now();
        long ahead = replica.use().promptTokens() + local.uncachedTokens();
        replica.dispatched(local.uncachedTokens(), prompt, sentAt);
        vm.sessions().sent(prompt, id, sentAt);
        EngineModel source =
                local.cacheSource().map(engine -> fleet.engine(engine.id())).orElse(null);
        Outstanding outstanding =
                new Outstanding(caller, vm, replica, local.uncachedTokens(), ahead, wayBackMillis);
        int urgency = FIRST_URGENCY + URGENCY_STEP * kind.priority();
        generation = new Generation(prompt, answerTokens, urgency, outstanding);
        if (!fleet.engine(id).submit(generation, source)) {
            outstanding.end();
            replica.unreachable(sentAt);
            ask(caller, vm, wayBackMillis, wayBackMillis == 0);
        }
    }

    private PlacementQuery query(boolean mayRelay) {
        long elapsed = (long) (time.millis() - startedAt);
        return new PlacementQuery(
                route,
                fleet.service(),
                Optional.of(prompt),
                kind.bodyBytes(),
                region -> true,
                tried,
                mayRelay,
                elapsed,
                kind.deadlineMillis() - elapsed);
    }

    private void refused(VmModel caller, long retryAfterMillis) {
        double left = startedAt + kind.deadlineMillis() - time.millis();
        if (cameBack || retryAfterMillis > left / 3) {
            count(result -> result.refused(kind.worth()));
            return;
        }
        cameBack = true;
        time.after(retryAfterMillis, () -> ask(caller, caller, 0, true));
    }

    private void leave() {
        if (!counted) {
            count(result -> result.failed(kind.worth()));
            if (generation != null) {
                generation.cancel();
            }
        }
    }

    private void count(Consumer<KindResult> outcome) {
        if (!counted) {
            counted = true;
            for (KindResult result : results) {
                outcome.accept(result);
            }
        }
    }

    /** One attempt at an engine, with its load on the VM's replica tracker. */
    private final class Outstanding implements Generation.Listener {
        private final VmModel caller;
        private final VmModel vm;
        private final ReplicaTracker replica;
        private final long uncachedTokens;
        private final long tokensAhead;
        private final double wayBackMillis;
        private final double sentAt = time.millis();
        private double firstAt;
        private boolean read;

        Outstanding(
                VmModel caller,
                VmModel vm,
                ReplicaTracker replica,
                long uncachedTokens,
                long tokensAhead,
                double wayBackMillis) {
            this.caller = caller;
            this.vm = vm;
            this.replica = replica;
            this.uncachedTokens = uncachedTokens;
            this.tokensAhead = tokensAhead;
            this.wayBackMillis = wayBackMillis;
        }

        @Override
        public void firstEvent() {
            read();
            firstAt = time.millis() + wayBackMillis;
            vm.chooser()
                    .speed(FleetModel.SERVICE)
                    .firstEvent(tokensAhead, (long) (time.millis() - sentAt));
        }

        @Override
        public void finished() {
            end();
            boolean onTime = firstAt - startedAt <= kind.targetMillis();
            double worth = onTime ? kind.worth() : kind.lateWorth();
            count(result -> result.answered(onTime, worth, kind.worth()));
        }

        @Override
        public void lost() {
            end();
            replica.unreachable(time.now());
            if (firstAt == 0 && caller == vm) {
                count(result -> result.failed(kind.worth()));
            } else {
                time.after(wayBackMillis, () -> count(result -> result.failed(kind.worth())));
            }
        }

        private void end() {
            read();
            replica.finished();
        }

        private void read() {
            if (!read) {
                read = true;
                replica.promptRead(uncachedTokens);
            }
        }
    }
}
