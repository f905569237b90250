package io.vanillapoint.emulator.engine;

import io.vanillapoint.core.prompt.CachedParts;
import io.vanillapoint.core.prompt.PromptShape;
import io.vanillapoint.emulator.VirtualTime;
import io.vanillapoint.emulator.scenario.EngineFigures;
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
    private static final double CACHE_PART = 0.8;

    private final VirtualTime time;
    private final EngineFigures figures;
    private final List<Generation> waiting = new ArrayList<>();
    private final List<Generation> running = new ArrayList<>();
    private CachedParts cache;
    private boolean stepping;
    private boolean down;
    private long readTokens;
    private long readAgainTokens;
    private int life;

    /**
     * Creates an idle engine.
     *
     * @param time clock of the run
     * @param figures speed and size
     */
    public EngineModel(VirtualTime time, EngineFigures figures) {
        this.time = time;
        this.figures = figures;
        this.cache = new CachedParts((long) (figures.cacheTokens() * CACHE_PART));
    }

    /**
     * Prompt tokens that were prefilled, since the cache didn't hold them.
     *
     * @return tokens
     */
    public long readTokens() {
        return readTokens;
    }

    /**
     * Prefilled tokens of shared prompt parts.
     *
     * @return tokens
     */
    public long readAgainTokens() {
        return readAgainTokens;
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
        PromptShape prompt = generation.prompt();
        long held = cache.cachedTokens(prompt);
        double copyMillis = 0;
        if (source != null && !source.down) {
            long there = Math.min(prompt.sharedTokens(), source.cache.cachedTokens(prompt));
            if (there > held) {
                copyMillis = (there - held) / figures.copyTokensPerMilli();
                held = there;
            }
        }
        generation.unread(Math.max(1, prompt.promptTokens() - held));
        readAgainTokens += Math.max(0, prompt.sharedTokens() - held);
        readTokens += generation.unreadTokens();
        cache.read(prompt);
        int started = life;
        time.after(
                figures.firstMillis() + copyMillis,
                () -> {
                    if (started == life) {
                        waiting.add(generation);
                        step();
                    }
                });
        return true;
    }

    /** Stops the engine: its requests are lost and its cache is emptied. */
    public void crash() {
        down = true;
        life++;
        List<Generation> lost = new ArrayList<>(waiting);
        lost.addAll(running);
        waiting.clear();
        running.clear();
        cache = new CachedParts((long) (figures.cacheTokens() * CACHE_PART));
        lost.forEach(generation -> generation.listener().lost());
    }

    /** Starts the engine again with an empty cache. */
    public void restart() {
        down = false;
    }

    private void step() {
        if (stepping) {
            return;
        }
        waiting.removeIf(Generation::cancelled);
        running.removeIf(Generation::cancelled);
        if (waiting.isEmpty() && running.isEmpty()) {
            return;
        }
        stepping = true;
        Generation reading = nextToRead();
        long chunk = reading == null ? 0 : Math.min(figures.chunkTokens(), reading.unreadTokens());
        double millis =
                figures.stepMillis()
                        + figures.stepMillisPerSlot() * running.size()
                        + chunk / figures.promptTokensPerMilli();
        int started = life;
        time.after(
                millis,
                () -> {
                    stepping = false;
                    if (started == life) {
                        stepDone(reading, chunk);
                        step();
                    }
                });
    }

    private Generation nextToRead() {
        if (running.size() >= figures.slots()) {
            return null;
        }
        return waiting.stream().min(MOST_URGENT).orElse(null);
    }

    private void stepDone(Generation reading, long chunk) {
        for (Generation generation : new ArrayList<>(running)) {
            makeToken(generation);
        }
        if (reading != null) {
            reading.unread(reading.unreadTokens() - chunk);
            if (reading.unreadTokens() <= 0 && waiting.remove(reading)) {
                running.add(reading);
                makeToken(reading);
            }
        }
    }

    private void makeToken(Generation generation) {
        generation.makeToken();
        boolean firstEvent = generation.tokensMade() == 1;
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
