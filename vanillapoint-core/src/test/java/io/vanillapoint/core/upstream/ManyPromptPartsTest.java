package io.vanillapoint.core.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.prompt.PromptPart;
import io.vanillapoint.core.prompt.PromptSummary;
import io.vanillapoint.core.published.EngineSpec;
import io.vanillapoint.core.published.ServiceSpec;
import io.vanillapoint.core.published.UpstreamReplica;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What is kept of prompts of very many parts. */
class ManyPromptPartsTest {
    private static final long CACHE_TOKENS = 222_918;
    private static final int ENGINES = 9;
    private static final int PROMPT_PARTS = 1_650;
    private static final int PROMPTS = 150 * ENGINES;

    /** Parts that all engines together may be known to have cached. */
    private static final int MAX_PARTS = 60_000;

    private static final ServiceSpec SERVICE =
            new ServiceSpec("s", 100, 0, 0, Optional.of(new EngineSpec(8, CACHE_TOKENS, false)));

    private final UpstreamPool pool = new UpstreamPool(Map.of(Replicas.ZONE, new RegionId("r")));
    private final List<ReplicaTracker> engines = new ArrayList<>();

    /** Guards against prompts of legal size that fill the heap, which the tokens do not bound. */
    @ParameterizedTest
    @ValueSource(longs = {0, 1})
    void partsOfFewTokensDoNotFillTheHeap(long tokens) {
        startEngines();
        List<PromptSummary> prompts = new ArrayList<>();
        for (int i = 0; i < PROMPTS; i++) {
            PromptSummary prompt = prompt(i, PROMPT_PARTS, tokens);
            engines.get(i % ENGINES).dispatched(0, prompt, 1_000);
            prompts.add(prompt);
        }
        long known = 0;
        for (int i = 0; i < PROMPTS; i++) {
            for (PromptPart part : prompts.get(i).parts()) {
                PromptSummary single = new PromptSummary("m", List.of(part(part.id())), 1, 1);
                known += engines.get(i % ENGINES).prefixCache().cachedTokens(single);
            }
        }
        assertThat(known, is(lessThan((long) MAX_PARTS)));
    }

    @Test
    void partsOfOrdinaryPromptsStayKnownBesideOnesOfManyParts() {
        startEngines();
        PromptSummary ordinary = prompt(0, 3, 100);
        for (int i = 1; i <= 20; i++) {
            engines.get(0).dispatched(0, ordinary, 1_000);
            engines.get(0).dispatched(0, prompt(i, PROMPT_PARTS, 1), 1_000);
        }
        assertThat(engines.get(0).prefixCache().cachedTokens(ordinary), is(300L));
    }

    @Test
    void memoryOfEnginesThatAreGoneIsFree() {
        startEngines();
        for (int i = 0; i < ENGINES; i++) {
            engines.get(i).dispatched(0, prompt(i, PROMPT_PARTS, 1), 1_000);
            engines.get(i).finished();
            pool.remove(engines.get(i).info().id(), false, 1_000);
        }
        pool.prune(1_000_000);
        assertThat(pool.replicas().size(), is(0));
        assertThat(pool.prefixCaches().heldBytes(), is(0L));
    }

    private void startEngines() {
        for (int i = 0; i < ENGINES; i++) {
            UpstreamReplica info = Replicas.ready("i-" + i, 1, 0);
            engines.add(pool.publish(info, Optional.of(SERVICE), 1_000).orElseThrow());
        }
    }

    private static PromptSummary prompt(int number, int count, long tokens) {
        List<PromptPart> parts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            parts.add(new PromptPart(number + "-" + i, tokens));
        }
        return new PromptSummary("m", parts, count * tokens, 1);
    }

    private static PromptPart part(String id) {
        return new PromptPart(id, 1);
    }
}
