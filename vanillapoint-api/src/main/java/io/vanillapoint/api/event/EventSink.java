package io.vanillapoint.api.event;

/** Receives events. Implementations document whether they are thread-safe. */
@FunctionalInterface
public interface EventSink {
    /**
     * Records an event.
     *
     * @param code event code
     * @param values values of its fields, converted to text
     */
    void record(EventCode code, Object... values);
}
