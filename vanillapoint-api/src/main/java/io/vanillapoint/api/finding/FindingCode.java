package io.vanillapoint.api.finding;

/** Kinds of findings in declarations, published values and settings. Immutable. */
public enum FindingCode {
    /** The text is not well-formed. */
    SYNTAX("syntax"),
    /** A field is not known. */
    UNKNOWN_FIELD("unknown-field"),
    /** A required field is missing. */
    MISSING("missing"),
    /** A value has the wrong type or lies out of its range. */
    BAD_VALUE("bad-value"),
    /** The same name is declared twice. */
    DUPLICATE("duplicate"),
    /** A name is used that nothing declares. */
    UNDECLARED("undeclared"),
    /** A key is given in clear instead of as a digest. */
    CLEAR_KEY("clear-key"),
    /** A published value is larger than the platform holds. */
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
