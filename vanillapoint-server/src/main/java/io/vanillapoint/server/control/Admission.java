package io.vanillapoint.server.control;

import io.vanillapoint.core.admission.AdmissionQueue.Ticket;
import io.vanillapoint.core.limit.TokenAcquisition.VmReservation;
import java.util.List;

/**
 * An admitted request: its slot among the running requests and its reserved tokens. Immutable.
 *
 * @param ticket its slot in the admission queue
 * @param parts token reservations; empty if the request costs no tokens
 */
public record Admission(Ticket ticket, List<VmReservation> parts) {
    /** Copies the parts. */
    public Admission {
        parts = List.copyOf(parts);
    }
}
