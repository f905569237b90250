package io.vanillapoint.core.limit;

import io.vanillapoint.core.limit.TokenGather.Part;
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
    public static List<Part> unused(List<Part> parts, double used) {
        double remainingUsed = Math.max(0, used);
        List<Part> unused = new ArrayList<>(parts.size());
        for (Part part : parts) {
            double consumed = Math.min(remainingUsed, part.tokens());
            remainingUsed -= consumed;
            unused.add(new Part(part.source(), part.id(), part.tokens() - consumed));
        }
        return unused;
    }
}
