package io.vanillapoint.standin.load;

/**
 * One answered request. Immutable.
 *
 * @param atMillis time of sending, since the start of the run
 * @param customer customer
 * @param kind kind of request
 * @param askedIn region of the VM that received the request
 * @param ranIn region that executed the request
 * @param firstMillis time from sending to the first part of the body
 * @param wholeMillis time from sending to the end of the body
 * @param tokens used tokens
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
