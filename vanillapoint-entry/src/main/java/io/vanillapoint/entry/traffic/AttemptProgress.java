package io.vanillapoint.entry.traffic;

import io.vanillapoint.core.quarantine.AttemptStage;

/** How much of a response an attempt has received. Confined to one event loop. */
final class AttemptProgress {
    private long headAtMillis = -1;
    private long pieces;

    void headReceived(long nowMillis) {
        headAtMillis = nowMillis;
    }

    /** Records received events of a stream, or chunks of another body. */
    void received(long count) {
        pieces += count;
    }

    /** Number of events or chunks of the current attempt. */
    long pieces() {
        return pieces;
    }

    /** Time since the head of the response, -1 if it has not arrived. */
    long headAgeMillis(long nowMillis) {
        return headAtMillis < 0 ? -1 : nowMillis - headAtMillis;
    }

    AttemptStage stage(long nowMillis) {
        return AttemptStage.of(headAgeMillis(nowMillis), pieces);
    }
}
