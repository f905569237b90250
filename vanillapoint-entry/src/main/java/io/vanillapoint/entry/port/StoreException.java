package io.vanillapoint.entry.port;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;

/** The platform's store did not answer as hoped. Immutable apart from the stack trace. */
public final class StoreException extends VanillapointException {
    private static final long serialVersionUID = 1L;

    /** Kinds of failures. */
    public enum Kind {
        /** The history that was asked for is gone; a full listing is needed. */
        HISTORY_GONE,
        /** The store refused the call. */
        REFUSED,
        /** No answer came, or none that could be read. */
        UNREACHABLE
    }

    private final Kind kind;

    /**
     * Creates an exception.
     *
     * @param kind kind of failure
     * @param message what was seen
     */
    public StoreException(Kind kind, String message) {
        super(ErrorCode.INTERNAL, "store", message);
        this.kind = kind;
    }

    /**
     * Kind of the failure.
     *
     * @return the kind
     */
    public Kind kind() {
        return kind;
    }
}
