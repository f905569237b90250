package io.vanillapoint.core.config;

import io.vanillapoint.api.finding.Findings;

/** Parses the text of a published value. Implementations are stateless. */
@FunctionalInterface
public interface ValueParser {
    /**
     * Parses a value. Errors are added to the findings; invalid input throws no exception.
     *
     * @param source name of the value, used as the location of findings
     * @param text text of the value
     * @param findings receives the errors
     * @return the parts that could be parsed
     */
    ParsedValue parse(String source, String text, Findings findings);
}
