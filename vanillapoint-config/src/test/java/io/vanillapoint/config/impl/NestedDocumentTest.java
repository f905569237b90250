package io.vanillapoint.config.impl;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.finding.Findings;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Deeply nested documents, read with a small stack. */
class NestedDocumentTest {
    private static final long STACK_BYTES = 256L * 1_024;

    @ParameterizedTest
    @ValueSource(ints = {60, 500, 990, 100_000})
    void deeplyNestedJsonIsAFinding(int depth) throws Exception {
        assertFinding(DocumentParser.json(), "[".repeat(depth) + "]".repeat(depth));
        assertFinding(DocumentParser.json(), "{\"a\":".repeat(depth) + "1" + "}".repeat(depth));
    }

    @ParameterizedTest
    @ValueSource(ints = {60, 500, 990, 20_000})
    void deeplyNestedYamlIsAFinding(int depth) throws Exception {
        assertFinding(DocumentParser.yaml(), "[".repeat(depth) + "]".repeat(depth));
    }

    private static void assertFinding(DocumentParser parser, String text) throws Exception {
        CompletableFuture<Object> found = new CompletableFuture<>();
        Runnable work =
                () -> {
                    Findings findings = new Findings();
                    try {
                        parser.parse("value", text, findings);
                        found.complete(!findings.isEmpty());
                    } catch (RuntimeException | StackOverflowError e) {
                        found.complete(e.toString());
                    }
                };
        new Thread(null, work, "small-stack", STACK_BYTES).start();
        assertThat(found.get(10, TimeUnit.SECONDS), is(true));
    }
}
