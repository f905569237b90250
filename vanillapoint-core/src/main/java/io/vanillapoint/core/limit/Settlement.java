package io.vanillapoint.core.limit;

import io.vanillapoint.core.limit.TokenAcquisition.VmReservation;
import java.util.ArrayList;
import java.util.List;

/** Computes the unused tokens of each reservation of a request. Stateless. */
public final class Settlement {
    private Settlement() {}

    /**
     * Attributes the used tokens to the reservations in order; what is left of each is unused.
     *
     * @param reservations reservations of the request
     * @param used tokens that the request used
     * @return for each reservation the tokens to return, zero or more
     */
    public static List<VmReservation> unused(List<VmReservation> reservations, double used) {
        double remainingUsed = Math.max(0, used);
        List<VmReservation> unused = new ArrayList<>(reservations.size());
        for (VmReservation reservation : reservations) {
            double consumed = Math.min(remainingUsed, reservation.tokens());
            remainingUsed -= consumed;
            unused.add(
                    new VmReservation(
                            reservation.source(),
                            reservation.id(),
                            reservation.tokens() - consumed));
        }
        return unused;
    }
}
