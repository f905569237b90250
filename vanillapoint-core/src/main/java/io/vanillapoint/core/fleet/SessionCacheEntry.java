package io.vanillapoint.core.fleet;

import java.util.Objects;

/**
 * Records that an engine has processed the shared parts of a session's prompt. Immutable.
 *
 * @param session hash of the session's key
 * @param upstream id of the engine
 * @param ageMillis time since the request was sent to the engine
 */
public record SessionCacheEntry(long session, String upstream, long ageMillis) {
    /** Checks that the upstream is present. */
    public SessionCacheEntry {
        Objects.requireNonNull(upstream, "upstream");
    }
}
