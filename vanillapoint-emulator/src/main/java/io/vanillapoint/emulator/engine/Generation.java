package io.vanillapoint.emulator.engine;

import io.vanillapoint.core.prompt.PromptShape;

/** A request at an engine. Confined to one thread. */
public final class Generation {
    private final PromptShape prompt;
    private final int urgency;
    private final Listener listener;
    private long unreadTokens;
    private long tokensToMake;
    private long tokensMade;
    private boolean cancelled;

    /** Hears how a generation goes. */
    public interface Listener {
        /** The first event is made. */
        void firstEvent();

        /** The last event is made. */
        void finished();

        /** The engine ended before. */
        void lost();
    }

    /**
     * Creates a request.
     *
     * @param prompt the prompt
     * @param tokensToMake tokens of the answer
     * @param urgency rank, 0 first
     * @param listener hears how it goes
     */
    public Generation(PromptShape prompt, long tokensToMake, int urgency, Listener listener) {
        this.prompt = prompt;
        this.tokensToMake = Math.max(1, tokensToMake);
        this.urgency = urgency;
        this.listener = listener;
    }

    /** Tells the engine to stop working on it. */
    public void cancel() {
        cancelled = true;
    }

    PromptShape prompt() {
        return prompt;
    }

    int urgency() {
        return urgency;
    }

    Listener listener() {
        return listener;
    }

    boolean cancelled() {
        return cancelled;
    }

    long unreadTokens() {
        return unreadTokens;
    }

    void unread(long tokens) {
        unreadTokens = tokens;
    }

    void makeToken() {
        tokensMade++;
    }

    long tokensMade() {
        return tokensMade;
    }

    boolean complete() {
        return tokensMade >= tokensToMake;
    }
}
