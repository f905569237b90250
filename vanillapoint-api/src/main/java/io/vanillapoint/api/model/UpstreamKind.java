package io.vanillapoint.api.model;

/** What an upstream runs. Immutable. */
public enum UpstreamKind {
    /** A model engine, which speaks the chat-completions protocol. */
    MODEL,
    /** A plain HTTP service. */
    SERVICE
}
