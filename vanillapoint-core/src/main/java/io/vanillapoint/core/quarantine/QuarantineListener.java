package io.vanillapoint.core.quarantine;

import java.util.Set;

/** Notified when prompt parts begin or cease to be withheld. */
public interface QuarantineListener {
    /**
     * Called when a hold is new or has become wider.
     *
     * @param hold the hold
     * @param reported true if another VM reported it, false if this VM inferred it
     */
    void held(PromptHold hold, boolean reported);

    /**
     * Called when a hold has ended or was replaced by one with fewer parts.
     *
     * @param parts hashes of its parts
     * @param reason why it ended
     */
    void released(Set<Long> parts, ReleaseReason reason);

    /** Why a hold ended. Immutable. */
    enum ReleaseReason {
        /** An engine has responded to a request with one of the parts. */
        SUCCEEDED,
        /** No request with the parts has arrived for long. */
        IDLE
    }
}
