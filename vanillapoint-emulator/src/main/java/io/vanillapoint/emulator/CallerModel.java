package io.vanillapoint.emulator;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.fleet.MemberInfo;
import io.vanillapoint.core.prompt.PromptSummary;
import io.vanillapoint.core.published.RouteKind;
import io.vanillapoint.core.published.RouteSpec;
import io.vanillapoint.core.published.ServiceShare;
import io.vanillapoint.core.upstream.Placement;
import io.vanillapoint.core.upstream.PlacementQuery;
import io.vanillapoint.core.upstream.ReplicaTracker;
import io.vanillapoint.emulator.engine.EngineModel;
import io.vanillapoint.emulator.engine.Generation;
import io.vanillapoint.emulator.report.OutcomeTotals;
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
    private final PromptSummary prompt;
    private final long answerTokens;
    private final OutcomeTotals[] totals;
    private final LongConsumer crossRegionBytes;
    private final RouteSpec route;
    private final double startedAt;
    private final Set<String> tried = new HashSet<>();
    private boolean retried;
    private boolean outcomeRecorded;
    private Generation generation;

    CallerModel(
            VirtualTime time,
            FleetModel fleet,
            PlacementPolicy policy,
            RequestKind kind,
            PromptSummary prompt,
            long answerTokens,
            OutcomeTotals[] totals,
            LongConsumer crossRegionBytes) {
        this.time = time;
        this.fleet = fleet;
        this.policy = policy;
        this.kind = kind;
        this.prompt = prompt;
        this.answerTokens = answerTokens;
        this.totals = totals;
        this.crossRegionBytes = crossRegionBytes;
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
        time.schedule(kind.deadlineMillis(), this::giveUp);
        place(vm, vm, 0, true);
    }

    /** Places the request from {@code vm}: the caller's VM or, after a relay, the receiving VM. */
    private void place(VmModel callerVm, VmModel vm, double returnDelayMillis, boolean mayRelay) {
        if (outcomeRecorded) {
            return;
        }
        long now = time.now();
        Placement placement = policy.choose(vm, query(mayRelay), now);
        if (placement instanceof Placement.Local local) {
            send(callerVm, vm, local, returnDelayMillis);
        } else if (placement instanceof Placement.Relay relay) {
            relay(callerVm, vm, relay);
        } else if (placement instanceof Placement.Refuse refuse) {
            time.schedule(
                    returnDelayMillis, () -> retryOrGiveUp(callerVm, refuse.retryAfterMillis()));
        }
    }

    private void relay(VmModel callerVm, VmModel vm, Placement.Relay relay) {
        RegionId region = relay.region();
        List<MemberInfo> relays = vm.view().reach().relayVms(region, relay.replicas(), time.now());
        MemberInfo relayMember =
                relay.vm().orElseGet(() -> relays.get(vm.random().nextInt(relays.size())));
        VmModel relayVm = fleet.vm(relayMember);
        if (fleet.partitioned(vm.region(), region)) {
            recordOutcome(total -> total.failed(kind.worth()));
            return;
        }
        crossRegionBytes.accept(kind.bodyBytes());
        double delay = fleet.delayMillis(vm.region(), region);
        time.schedule(delay, () -> place(callerVm, relayVm, delay, false));
    }

    private void send(
            VmModel callerVm, VmModel vm, Placement.Local local, double returnDelayMillis) {
        ReplicaTracker replica = local.replica();
        String id = replica.info().id();
        tried.add(id);
        long sentAt = time.now();
        long tokensAhead = replica.outstanding().promptTokens() + local.uncachedTokens();
        replica.dispatched(local.uncachedTokens(), prompt, sentAt);
        vm.sessions().recordSent(prompt, id, sentAt);
        EngineModel source =
                local.cacheSource().map(engine -> fleet.engine(engine.id())).orElse(null);
        Attempt attempt =
                new Attempt(
                        callerVm,
                        vm,
                        replica,
                        local.uncachedTokens(),
                        tokensAhead,
                        returnDelayMillis);
        int urgency = FIRST_URGENCY + URGENCY_STEP * kind.priority();
        generation = new Generation(prompt, answerTokens, urgency, attempt);
        if (!fleet.engine(id).submit(generation, source)) {
            attempt.end();
            replica.unreachable(sentAt);
            place(callerVm, vm, returnDelayMillis, returnDelayMillis == 0);
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

    private void retryOrGiveUp(VmModel callerVm, long retryAfterMillis) {
        double remainingMillis = startedAt + kind.deadlineMillis() - time.millis();
        if (retried || retryAfterMillis > remainingMillis / 3) {
            recordOutcome(total -> total.refused(kind.worth()));
            return;
        }
        retried = true;
        time.schedule(retryAfterMillis, () -> place(callerVm, callerVm, 0, true));
    }

    private void giveUp() {
        if (!outcomeRecorded) {
            recordOutcome(total -> total.failed(kind.worth()));
            if (generation != null) {
                generation.cancel();
            }
        }
    }

    private void recordOutcome(Consumer<OutcomeTotals> outcome) {
        if (!outcomeRecorded) {
            outcomeRecorded = true;
            for (OutcomeTotals total : totals) {
                outcome.accept(total);
            }
        }
    }

    /** One attempt at an engine, with its load on the VM's replica tracker. */
    private final class Attempt implements Generation.Listener {
        private final VmModel callerVm;
        private final VmModel vm;
        private final ReplicaTracker replica;
        private final long uncachedTokens;
        private final long tokensAhead;
        private final double returnDelayMillis;
        private final double sentAt = time.millis();
        private double firstEventAt;
        private boolean promptRead;

        Attempt(
                VmModel callerVm,
                VmModel vm,
                ReplicaTracker replica,
                long uncachedTokens,
                long tokensAhead,
                double returnDelayMillis) {
            this.callerVm = callerVm;
            this.vm = vm;
            this.replica = replica;
            this.uncachedTokens = uncachedTokens;
            this.tokensAhead = tokensAhead;
            this.returnDelayMillis = returnDelayMillis;
        }

        @Override
        public void firstEvent() {
            markPromptRead();
            firstEventAt = time.millis() + returnDelayMillis;
            vm.chooser()
                    .speed(FleetModel.SERVICE)
                    .recordFirstEvent(tokensAhead, (long) (time.millis() - sentAt));
        }

        @Override
        public void finished() {
            end();
            boolean onTime = firstEventAt - startedAt <= kind.targetMillis();
            double worth = onTime ? kind.worth() : kind.lateWorth();
            recordOutcome(total -> total.answered(onTime, worth, kind.worth()));
        }

        @Override
        public void lost() {
            end();
            replica.unreachable(time.now());
            if (firstEventAt == 0 && callerVm == vm) {
                recordOutcome(total -> total.failed(kind.worth()));
            } else {
                time.schedule(
                        returnDelayMillis,
                        () -> recordOutcome(total -> total.failed(kind.worth())));
            }
        }

        private void end() {
            markPromptRead();
            replica.finished();
        }

        private void markPromptRead() {
            if (!promptRead) {
                promptRead = true;
                replica.recordPromptProcessed(uncachedTokens);
            }
        }
    }
}
