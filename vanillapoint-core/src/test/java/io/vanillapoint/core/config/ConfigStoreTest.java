package io.vanillapoint.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.finding.FindingCode;
import io.vanillapoint.api.finding.Findings;
import io.vanillapoint.api.finding.Place;
import io.vanillapoint.api.model.ModelDeclaration;
import io.vanillapoint.core.message.PublishedValue;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The newest valid value stays in force when values arrive reordered, repeated or invalid. */
class ConfigStoreTest {
    private static final String KEY = "declarations/catalog";

    private final ConfigStore store = new ConfigStore(ConfigStoreTest::parse, (code, v) -> {});

    @Test
    void revisionNeverDecreasesWhenValuesAreReordered() {
        for (int seed = 0; seed < 200; seed++) {
            ConfigStore shuffled = new ConfigStore(ConfigStoreTest::parse, (code, v) -> {});
            List<Long> revisions = new ArrayList<>(List.of(1L, 2L, 3L, 4L, 5L, 3L, 5L, 1L));
            Collections.shuffle(revisions, new Random(seed));
            long newest = 0;
            for (long revision : revisions) {
                shuffled.accept(List.of(value(revision, "r" + revision)), revision, "test");
                newest = Math.max(newest, revision);
                assertThat(shuffled.current().revision(), is(newest));
                assertThat(shuffled.current().model("r" + newest).isPresent(), is(true));
            }
        }
    }

    @Test
    void invalidValueLeavesTheLastValidOneInForce() {
        store.accept(List.of(value(1, "good")), 1, "test");
        store.accept(List.of(value(2, "bad")), 2, "test");
        assertThat(store.current().model("good").isPresent(), is(true));
        assertThat(store.completeThroughRevision(), is(2L));
        store.accept(List.of(value(3, "better")), 3, "test");
        assertThat(store.current().model("better").isPresent(), is(true));
    }

    @Test
    void peersReceiveOnlyTheValueInForce() {
        store.accept(List.of(value(1, "good")), 1, "test");
        store.accept(List.of(value(2, "bad")), 2, "test");
        assertThat(store.newerThan(0), is(List.of(value(1, "good"))));
        assertThat(store.newerThan(1), is(List.of()));
    }

    private static PublishedValue value(long revision, String name) {
        return new PublishedValue(KEY, revision, name);
    }

    private static ParsedValue parse(String source, String text, Findings findings) {
        if (text.equals("bad")) {
            findings.add(Place.of(source), FindingCode.SYNTAX, "bad");
        }
        return new ParsedValue(
                List.of(new ModelDeclaration(text, 1)), List.of(), List.of(), List.of(), List.of());
    }
}
