package io.vanillapoint.core.upstream;

import io.vanillapoint.core.fleet.UpstreamUse;
import io.vanillapoint.core.prompt.PromptSummary;
import java.util.Optional;

/** Load of one request on its engine, as {@code ReplicaUse} of the entry VM counts it. */
final class ReplayUse {
    private final ReplayVm vm;
    private final ReplicaTracker tracker;
    private final long uncachedTokens;
    private final long expectedMillis;
    private final Optional<EngineRank> rank;
    private final ReplayTime time;
    private final double sentMillis;
    private final long queuedTokens;
    private boolean promptReleased;
    private boolean ended;

    ReplayUse(
            ReplayVm vm,
            ReplicaTracker tracker,
            long uncachedTokens,
            long expectedMillis,
            Optional<EngineRank> rank,
            ReplayTime time) {
        this.vm = vm;
        this.tracker = tracker;
        this.uncachedTokens = uncachedTokens;
        this.expectedMillis = expectedMillis;
        this.rank = rank;
        this.time = time;
        sentMillis = time.millis();
        UpstreamUse use = tracker.outstanding().plus(vm.fleet.otherVmUse(tracker.info().id()));
        queuedTokens =
                rank.map(
                                present ->
                                        vm.chooser
                                                .engineQueue("model")
                                                .measuredTokens(use, present, uncachedTokens))
                        .orElse(use.promptTokens() + uncachedTokens);
    }

    void sent(PromptSummary prompt) {
        tracker.dispatched(uncachedTokens, prompt, time.now());
        rank.ifPresent(present -> vm.chooser.engineQueue("model").sent(present, time.now()));
        if (deferrable()) {
            tracker.deferrableWork().dispatched(uncachedTokens);
        }
        vm.locations.recordSent(prompt, tracker.info().id(), time.now());
    }

    void firstEvent() {
        if (!promptReleased && !ended) {
            releasePrompt();
            long millis = (long) (time.millis() - sentMillis);
            vm.chooser.speed("model").recordFirstEvent(queuedTokens, millis);
            rank.ifPresent(
                    present ->
                            vm.chooser
                                    .engineQueue("model")
                                    .recordFirstEvent(present, expectedMillis, millis, time.now()));
        }
    }

    void ended() {
        if (ended) {
            return;
        }
        ended = true;
        if (!promptReleased) {
            releasePrompt();
        }
        tracker.finished();
        if (deferrable()) {
            tracker.deferrableWork().finished();
        }
    }

    private void releasePrompt() {
        promptReleased = true;
        tracker.recordPromptProcessed(uncachedTokens);
        if (deferrable()) {
            tracker.deferrableWork().promptProcessed(uncachedTokens);
        }
    }

    private boolean deferrable() {
        return rank.filter(EngineRank::deferrable).isPresent();
    }
}
