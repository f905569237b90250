package io.vanillapoint.api.model;

import java.util.Set;

/**
 * Which calls of a service may be run more than once. Immutable.
 *
 * <p>{@link #BY_METHOD} is the default and accepts the safe methods of HTTP.
 */
public enum Repeatability {
    /** Calls with a safe HTTP method (GET, HEAD, OPTIONS) are idempotent. */
    BY_METHOD {
        @Override
        public boolean isIdempotent(String method) {
            return SAFE_METHODS.contains(method);
        }
    },
    /** Every call is idempotent. */
    ALWAYS {
        @Override
        public boolean isIdempotent(String method) {
            return true;
        }
    },
    /** No call is idempotent. */
    NEVER {
        @Override
        public boolean isIdempotent(String method) {
            return false;
        }
    };

    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

    /**
     * Tells whether a call may be run more than once.
     *
     * @param method HTTP method in upper case
     * @return true if a second run does no harm
     */
    public abstract boolean isIdempotent(String method);
}
