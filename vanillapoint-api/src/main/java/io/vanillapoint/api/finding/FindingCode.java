package io.vanillapoint.api.finding;

/** Kinds of findings in declarations, published values and settings. Immutable. */
public enum FindingCode {
    /** The text is not well-formed. */
    SYNTAX("syntax"),
    /** A field is unknown. */
    UNKNOWN_FIELD("unknown-field"),
    /** A required field is missing. */
    MISSING("missing"),
    /** A value has the wrong type or is out of range. */
    BAD_VALUE("bad-value"),
    /** The same name is declared twice. */
    DUPLICATE("duplicate"),
    /** A name is used but not declared. */
    UNDECLARED("undeclared"),
    /** A key is given in clear text instead of as a digest. */
    CLEAR_KEY("clear-key"),
    /** A published value exceeds the platform's size limit. */
    TOO_LARGE("too-large"),
    /** A file could not be read. */
    UNREADABLE("unreadable");

    private final String text;

    FindingCode(String text) {
        this.text = text;
    }

    /**
     * Stable name for scripts.
     *
     * @return lower-case text
     */
    public String text() {
        return text;
    }
}
