package io.vanillapoint.api.event;

/** How much an event matters to an operator. Immutable. */
public enum EventLevel {
    /** Of interest when looking into a fault. */
    DEBUG,
    /** A normal change of state. */
    INFO,
    /** Something an operator should know of. */
    WARN,
    /** A promise is broken or the process can't go on. */
    ERROR
}
