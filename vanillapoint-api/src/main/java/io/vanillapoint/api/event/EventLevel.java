package io.vanillapoint.api.event;

/** Severity of an event. Immutable. */
public enum EventLevel {
    /** Detail for the analysis of a fault. */
    DEBUG,
    /** A normal change of state. */
    INFO,
    /** A condition that an operator should know about. */
    WARN,
    /** A guarantee is violated or the process cannot continue. */
    ERROR
}
