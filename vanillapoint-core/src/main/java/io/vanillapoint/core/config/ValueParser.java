package io.vanillapoint.core.config;

import io.vanillapoint.api.finding.Findings;

/** Reads the text of a published value. Implementations are stateless. */
@FunctionalInterface
public interface ValueParser {
    /**
     * Reads a value. All faults are collected; nothing is thrown for bad input.
     *
     * @param source name of the value, for the places of findings
     * @param text the value
     * @param findings where faults are added
     * @return what could be read
     */
    ParsedValue parse(String source, String text, Findings findings);
}
