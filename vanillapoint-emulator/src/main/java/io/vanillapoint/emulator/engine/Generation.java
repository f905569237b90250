package io.vanillapoint.emulator.engine;

import io.vanillapoint.core.prompt.PromptSummary;

/** A generation request at an engine. Confined to one thread. */
public final class Generation {
    private final PromptSummary prompt;
    private final int urgency;
    private final Listener listener;
    private long tokensToPrefill;
    private long answerTokens;
    private long generatedTokens;
    private boolean cancelled;

    /** Receives the progress of a generation. */
    public interface Listener {
        /** The first event of the answer was generated. */
        void firstEvent();

        /** The answer is complete. */
        void finished();

        /** The engine crashed before the answer was complete. */
        void lost();
    }

    /**
     * Creates a request.
     *
     * @param prompt the prompt
     * @param answerTokens length of the answer in tokens, at least 1
     * @param urgency scheduling rank, lowest first
     * @param listener receives the progress
     */
    public Generation(PromptSummary prompt, long answerTokens, int urgency, Listener listener) {
        this.prompt = prompt;
        this.answerTokens = Math.max(1, answerTokens);
        this.urgency = urgency;
        this.listener = listener;
    }

    /** Cancels the request: the engine drops it before its next step. */
    public void cancel() {
        cancelled = true;
    }

    PromptSummary prompt() {
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

    long tokensToPrefill() {
        return tokensToPrefill;
    }

    void updateTokensToPrefill(long tokens) {
        tokensToPrefill = tokens;
    }

    void generateToken() {
        generatedTokens++;
    }

    long generatedTokens() {
        return generatedTokens;
    }

    boolean complete() {
        return generatedTokens >= answerTokens;
    }
}
