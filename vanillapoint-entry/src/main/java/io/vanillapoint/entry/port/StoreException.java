package io.vanillapoint.entry.port;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;

/** Thrown when a call to the platform's store fails. Immutable apart from the stack trace. */
public final class StoreException extends VanillapointException {
    private static final long serialVersionUID = 1L;

    /** Kind of failure. */
    public enum Kind {
        /** The requested history has been compacted; a full listing is needed. */
        HISTORY_GONE,
        /** The store refused the call. */
        REFUSED,
        /** There was no response, or it was malformed. */
        UNREACHABLE
    }

    private final Kind kind;

    /**
     * Creates an exception.
     *
     * @param kind kind of failure
     * @param message description of the failure
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
