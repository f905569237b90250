package io.vanillapoint.emulator.engine;

import io.vanillapoint.core.prompt.PrefixCacheModel;
import io.vanillapoint.core.prompt.PromptSummary;
import io.vanillapoint.emulator.VirtualTime;
import io.vanillapoint.emulator.scenario.EngineParameters;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * An engine with continuous batching: each step decodes one token for each running request and
 * prefills a chunk of one waiting prompt. Shared prompt parts stay cached until they are evicted.
 *
 * <p>Invariant: at most {@code slots} requests run concurrently. Confined to one thread.
 */
public final class EngineModel {
    private static final Comparator<Generation> MOST_URGENT =
            Comparator.comparingInt(Generation::urgency);

    /** Fraction of the memory for cached prompt parts; running requests use the rest. */
    private static final double CACHE_FRACTION = 0.8;

    private final VirtualTime time;
    private final EngineParameters parameters;
    private final List<Generation> waiting = new ArrayList<>();
    private final List<Generation> running = new ArrayList<>();
    private PrefixCacheModel cache;
    private boolean stepScheduled;
    private boolean down;
    private long prefilledTokens;
    private long prefilledSharedTokens;
    private int incarnation;

    /**
     * Creates an idle engine.
     *
     * @param time clock of the run
     * @param parameters speed and capacity
     */
    public EngineModel(VirtualTime time, EngineParameters parameters) {
        this.time = time;
        this.parameters = parameters;
        this.cache = new PrefixCacheModel((long) (parameters.cacheTokens() * CACHE_FRACTION));
    }

    /**
     * Prompt tokens that were prefilled, since the cache didn't hold them.
     *
     * @return tokens
     */
    public long prefilledTokens() {
        return prefilledTokens;
    }

    /**
     * Prefilled tokens of shared prompt parts.
     *
     * @return tokens
     */
    public long prefilledSharedTokens() {
        return prefilledSharedTokens;
    }

    /**
     * Accepts a request.
     *
     * @param generation the request
     * @param source engine whose cached prompt parts are copied first, or null
     * @return false if the engine is down
     */
    public boolean submit(Generation generation, EngineModel source) {
        if (down) {
            return false;
        }
        PromptSummary prompt = generation.prompt();
        long cachedTokens = cache.cachedTokens(prompt);
        double copyMillis = 0;
        if (source != null && !source.down) {
            long sourceTokens = Math.min(prompt.sharedTokens(), source.cache.cachedTokens(prompt));
            if (sourceTokens > cachedTokens) {
                copyMillis = (sourceTokens - cachedTokens) / parameters.copyTokensPerMilli();
                cachedTokens = sourceTokens;
            }
        }
        generation.updateTokensToPrefill(Math.max(1, prompt.promptTokens() - cachedTokens));
        prefilledSharedTokens += Math.max(0, prompt.sharedTokens() - cachedTokens);
        prefilledTokens += generation.tokensToPrefill();
        cache.recordPrefill(prompt);
        int startIncarnation = incarnation;
        time.schedule(
                parameters.firstMillis() + copyMillis,
                () -> {
                    if (startIncarnation == incarnation) {
                        waiting.add(generation);
                        step();
                    }
                });
        return true;
    }

    /** Stops the engine: its requests are lost and its cache is emptied. */
    public void crash() {
        down = true;
        incarnation++;
        List<Generation> lost = new ArrayList<>(waiting);
        lost.addAll(running);
        waiting.clear();
        running.clear();
        cache = new PrefixCacheModel((long) (parameters.cacheTokens() * CACHE_FRACTION));
        lost.forEach(generation -> generation.listener().lost());
    }

    /** Starts the engine again with an empty cache. */
    public void restart() {
        down = false;
    }

    private void step() {
        if (stepScheduled) {
            return;
        }
        waiting.removeIf(Generation::cancelled);
        running.removeIf(Generation::cancelled);
        if (waiting.isEmpty() && running.isEmpty()) {
            return;
        }
        stepScheduled = true;
        Generation prefilling = nextToPrefill();
        long chunk =
                prefilling == null
                        ? 0
                        : Math.min(parameters.chunkTokens(), prefilling.tokensToPrefill());
        double millis =
                parameters.stepMillis()
                        + parameters.stepMillisPerSlot() * running.size()
                        + chunk / parameters.promptTokensPerMilli();
        int startIncarnation = incarnation;
        time.schedule(
                millis,
                () -> {
                    stepScheduled = false;
                    if (startIncarnation == incarnation) {
                        completeStep(prefilling, chunk);
                        step();
                    }
                });
    }

    private Generation nextToPrefill() {
        if (running.size() >= parameters.slots()) {
            return null;
        }
        return waiting.stream().min(MOST_URGENT).orElse(null);
    }

    private void completeStep(Generation prefilling, long chunk) {
        for (Generation generation : new ArrayList<>(running)) {
            generateToken(generation);
        }
        if (prefilling != null) {
            prefilling.updateTokensToPrefill(prefilling.tokensToPrefill() - chunk);
            if (prefilling.tokensToPrefill() <= 0 && waiting.remove(prefilling)) {
                running.add(prefilling);
                generateToken(prefilling);
            }
        }
    }

    private void generateToken(Generation generation) {
        generation.generateToken();
        boolean firstEvent = generation.generatedTokens() == 1;
        if (generation.complete()) {
            running.remove(generation);
        }
        if (firstEvent) {
            generation.listener().firstEvent();
        }
        if (generation.complete()) {
            generation.listener().finished();
        }
    }
}
