package io.vanillapoint.server.control;

import io.vanillapoint.core.admission.AdmissionQueue.Ticket;
import io.vanillapoint.core.limit.TokenAcquisition.VmReservation;
import java.util.List;

/**
 * An admitted request: its slot among the running requests and its reserved tokens. Immutable.
 *
 * @param ticket its slot in the admission queue
 * @param reservations token reservations; empty if the request costs no tokens
 */
public record Admission(Ticket ticket, List<VmReservation> reservations) {
    /** Copies the parts. */
    public Admission {
        reservations = List.copyOf(reservations);
    }
}
