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
     * @param parts reservations of the request
     * @param used tokens that the request used
     * @return for each reservation the tokens to return, zero or more
     */
    public static List<VmReservation> unused(List<VmReservation> parts, double used) {
        double remainingUsed = Math.max(0, used);
        List<VmReservation> unused = new ArrayList<>(parts.size());
        for (VmReservation part : parts) {
            double consumed = Math.min(remainingUsed, part.tokens());
            remainingUsed -= consumed;
            unused.add(new VmReservation(part.source(), part.id(), part.tokens() - consumed));
        }
        return unused;
    }
}
