package io.vanillapoint.standin.load;

/**
 * One answered request. Immutable.
 *
 * @param atMillis time since the start of the run
 * @param customer customer
 * @param kind kind of request
 * @param askedIn region of the VM that was asked
 * @param ranIn region that ran it
 * @param firstMillis time to the first part of the body
 * @param wholeMillis time to the end
 * @param tokens tokens used
 */
record Sample(
        long atMillis,
        String customer,
        String kind,
        String askedIn,
        String ranIn,
        long firstMillis,
        long wholeMillis,
        double tokens) {
    static final String CSV_HEAD = "at_ms,customer,kind,asked_in,ran_in,first_ms,whole_ms,tokens";

    String csv() {
        return String.join(
                ",",
                String.valueOf(atMillis),
                customer,
                kind,
                askedIn,
                ranIn,
                String.valueOf(firstMillis),
                String.valueOf(wholeMillis),
                String.valueOf(tokens));
    }
}
