package io.vanillapoint.cli.explain;

import com.fasterxml.jackson.databind.JsonNode;
import io.vanillapoint.api.event.EventCode;
import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One line of a decision log. Immutable.
 *
 * @param atMillis wall time of the VM that wrote the line, corrected if its clock is known to be
 *     slow
 * @param vm name of the VM
 * @param code event from the catalogue
 * @param fields all fields of the line
 */
public record Decision(long atMillis, String vm, EventCode code, JsonNode fields) {
    /**
     * Parses one line.
     *
     * @param line JSON object
     * @return the decision, or empty if the event number is unknown
     */
    static Optional<Decision> of(JsonNode line) {
        int number = line.path("event").asInt(-1);
        return Arrays.stream(EventCode.values())
                .filter(code -> code.number() == number)
                .findFirst()
                .map(
                        code ->
                                new Decision(
                                        line.path("at").asLong(),
                                        line.path("vm").asText(),
                                        code,
                                        line));
    }

    /**
     * Text of a field.
     *
     * @param name field name in the catalogue
     * @return its text, or an empty text if the line does not have the field
     */
    public String text(String name) {
        return fields.path(name).asText("");
    }

    /**
     * Number of a field.
     *
     * @param name field name in the catalogue
     * @return its number, or 0 if the line does not have the field
     */
    public double number(String name) {
        return fields.path(name).asDouble(0);
    }

    /**
     * Tells whether the line belongs to a request.
     *
     * @param request id of the request
     * @return true if it does
     */
    public boolean belongsTo(String request) {
        return request.equals(text("request"));
    }

    /**
     * The fields in human-readable form.
     *
     * @return name=value pairs, separated by spaces
     */
    public String details() {
        return code.fields().stream()
                .filter(name -> !name.equals("request") && fields.has(name))
                .map(name -> name + "=" + fields.path(name).asText())
                .collect(Collectors.joining(" "));
    }

    /**
     * Returns the decision with a shifted time.
     *
     * @param millis milliseconds to add
     * @return a copy, or this decision if the shift is 0
     */
    Decision shiftedBy(long millis) {
        return millis == 0 ? this : new Decision(atMillis + millis, vm, code, fields);
    }
}
