package io.vanillapoint.core.invariant;

import io.vanillapoint.api.event.EventCode;
import io.vanillapoint.api.event.EventSink;
import java.util.function.Supplier;

/**
 * Checks that run in production too. A violation becomes a numbered event and counts; the process
 * goes on. Tests install a sink that fails on {@link EventCode#INVARIANT_BROKEN}.
 *
 * <p>Confined to one thread.
 */
public final class Invariants {
    private final EventSink events;
    private long violations;

    /**
     * Creates the checks.
     *
     * @param events where violations are recorded
     */
    public Invariants(EventSink events) {
        this.events = events;
    }

    /**
     * Checks one invariant.
     *
     * @param holds whether it holds
     * @param name name of the invariant
     * @param detail computes the detail to record if it does not hold
     * @return what was passed as {@code holds}
     */
    public boolean check(boolean holds, String name, Supplier<String> detail) {
        if (!holds) {
            violations++;
            events.record(EventCode.INVARIANT_BROKEN, name, detail.get());
        }
        return holds;
    }

    /**
     * Violations so far.
     *
     * @return zero or more
     */
    public long violations() {
        return violations;
    }
}
