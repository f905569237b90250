package io.vanillapoint.server.control;

import io.vanillapoint.core.admission.AdmissionQueue.Ticket;
import io.vanillapoint.core.limit.TokenGather.Part;
import java.util.List;

/**
 * A request that may run: its place among the running requests and its tokens. Immutable.
 *
 * @param ticket its place
 * @param parts reservations, empty if it costs nothing
 */
public record Admission(Ticket ticket, List<Part> parts) {
    /** Copies the parts. */
    public Admission {
        parts = List.copyOf(parts);
    }
}
