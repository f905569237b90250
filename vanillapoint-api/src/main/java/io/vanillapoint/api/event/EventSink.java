package io.vanillapoint.api.event;

/** Receives events. Implementations state whether several threads may call them. */
@FunctionalInterface
public interface EventSink {
    /**
     * Records an event.
     *
     * @param code what happened
     * @param values values of its fields, turned into text
     */
    void record(EventCode code, Object... values);
}
