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
        /** The response is too large, or its transfer takes too long. */
        TOO_LARGE,
        /** The response is malformed, possibly because of one entry. */
        MALFORMED,
        /** The store refused the call. */
        REFUSED,
        /** There was no response. */
        UNREACHABLE;

        /**
         * Tells whether a watch from the same revision would fail again, so that a listing is
         * needed.
         *
         * @return true if the failure depends on the content of the response
         */
        public boolean needsListing() {
            return this == HISTORY_GONE || this == TOO_LARGE || this == MALFORMED;
        }
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
