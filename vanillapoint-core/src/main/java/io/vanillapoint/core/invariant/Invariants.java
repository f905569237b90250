package io.vanillapoint.core.invariant;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import java.util.function.Supplier;

/**
 * Invariant checks that also run in production. A violation is recorded as an event and counted;
 * the process continues. Tests install a sink that fails on {@link EventCode#INVARIANT_BROKEN}.
 *
 * <p>Confined to one thread.
 */
public final class Invariants {
    private final EventSink events;
    private long violations;

    /**
     * Creates the checks.
     *
     * @param events sink for violations
     */
    public Invariants(EventSink events) {
        this.events = events;
    }

    /**
     * Checks one invariant.
     *
     * @param holds whether the invariant holds
     * @param name name of the invariant
     * @param detail computes the detail to record if the invariant does not hold
     * @return {@code holds}
     */
    public boolean check(boolean holds, String name, Supplier<String> detail) {
        if (!holds) {
            violations++;
            events.record(EventCode.INVARIANT_BROKEN, name, detail.get());
        }
        return holds;
    }

    /**
     * Number of violations since the start.
     *
     * @return zero or more
     */
    public long violations() {
        return violations;
    }
}
