package io.vanillapoint.core.limit;

import io.vanillapoint.core.limit.TokenGather.Part;
import java.util.ArrayList;
import java.util.List;

/** Splits what a request did not use over the reservations that it holds. Stateless. */
public final class Settlement {
    private Settlement() {}

    /**
     * Works out what each reservation gets back.
     *
     * @param parts reservations of the request
     * @param used tokens that were used
     * @return for every reservation the part to give back, zero or more
     */
    public static List<Part> unused(List<Part> parts, double used) {
        double stillUsed = Math.max(0, used);
        List<Part> unused = new ArrayList<>(parts.size());
        for (Part part : parts) {
            double consumed = Math.min(stillUsed, part.tokens());
            stillUsed -= consumed;
            unused.add(new Part(part.source(), part.id(), part.tokens() - consumed));
        }
        return unused;
    }
}
