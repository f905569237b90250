package io.vanillapoint.api.event;

import java.util.List;

/**
 * One entry of the time line. Immutable.
 *
 * @param at time of the event
 * @param source process that recorded it
 * @param code event code
 * @param values values of the fields that {@link EventCode#fields()} names, in the same order
 */
public record Event(HybridTimestamp at, String source, EventCode code, List<String> values) {
    /** Copies the values and checks their number. */
    public Event {
        values = List.copyOf(values);
        if (values.size() != code.fields().size()) {
            throw new IllegalArgumentException(
                    "event " + code + ": expected " + code.fields().size() + " values");
        }
    }

    /**
     * Human-readable text in one line.
     *
     * @return number, title and fields
     */
    public String text() {
        StringBuilder text = new StringBuilder();
        text.append('E').append(code.number()).append(' ').append(code.title());
        for (int i = 0; i < values.size(); i++) {
            text.append(' ').append(code.fields().get(i)).append('=').append(values.get(i));
        }
        return text.toString();
    }
}
