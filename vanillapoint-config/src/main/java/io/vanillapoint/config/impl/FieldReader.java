package io.vanillapoint.config.impl;

import io.vanillapoint.api.finding.FindingCode;
import io.vanillapoint.api.finding.Findings;
import io.vanillapoint.api.finding.Place;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Reads the fields of one object and records every error with its place. A missing or invalid field
 * yields a default, so that the remaining fields are still checked. Not thread-safe.
 */
final class FieldReader {
    private final LocatedNode object;
    private final Findings findings;
    private final Set<String> readFields = new TreeSet<>();

    FieldReader(LocatedNode object, Findings findings) {
        this.object = object;
        this.findings = findings;
    }

    Place place() {
        return object.place();
    }

    /** Returns the place of a field, or of the object if the field is missing. */
    Place place(String field) {
        LocatedNode node = object.fields().get(field);
        return node == null ? object.place() : node.place();
    }

    void addFinding(String field, FindingCode code, String message) {
        findings.add(place(field), code, message);
    }

    void addFindingAt(Place place, FindingCode code, String message) {
        findings.add(place, code, message);
    }

    String requiredText(String field) {
        Optional<String> text = text(field);
        if (text.isEmpty()) {
            addFinding(field, FindingCode.MISSING, "expected field '" + field + "'");
        }
        return text.orElse("");
    }

    Optional<String> text(String field) {
        Optional<LocatedNode> node = scalar(field);
        if (node.isPresent() && node.get().text().isEmpty()) {
            addFinding(
                    field,
                    FindingCode.BAD_VALUE,
                    "field '" + field + "': expected a non-empty string");
            return Optional.empty();
        }
        return node.map(LocatedNode::text);
    }

    double positiveNumber(String field, Double defaultValue) {
        return parseField(
                field, "a number greater than 0", defaultValue, FieldReader::parsePositive, 1.0);
    }

    int integer(String field, int minimum, Integer defaultValue) {
        Function<String, Integer> parser =
                text -> {
                    int value = Integer.parseInt(text);
                    if (value < minimum) {
                        throw new NumberFormatException("below the minimum");
                    }
                    return value;
                };
        return parseField(
                field,
                "an integer of at least " + minimum,
                defaultValue,
                parser,
                Math.max(1, minimum));
    }

    boolean bool(String field, boolean defaultValue) {
        Function<String, Boolean> parser =
                text -> {
                    if (!text.equals("true") && !text.equals("false")) {
                        throw new IllegalArgumentException("neither");
                    }
                    return text.equals("true");
                };
        return parseField(field, "true or false", defaultValue, parser, defaultValue);
    }

    <E extends Enum<E>> E enumValue(String field, Class<E> type, E defaultValue) {
        String names =
                String.join(
                        ", ",
                        Arrays.stream(type.getEnumConstants())
                                .map(value -> value.name().toLowerCase(Locale.ROOT))
                                .toList());
        Function<String, E> parser =
                text -> Enum.valueOf(type, text.toUpperCase(Locale.ROOT).replace('-', '_'));
        return parseField(
                field, "one of " + names, defaultValue, parser, type.getEnumConstants()[0]);
    }

    /**
     * Reads a field with a function that throws {@link IllegalArgumentException} for invalid text.
     * A missing field yields {@code defaultValue}, or a finding and {@code placeholder} if there is
     * no default value; invalid text yields a finding and {@code placeholder}.
     */
    <T> T parseField(
            String field,
            String expected,
            T defaultValue,
            Function<String, T> parser,
            T placeholder) {
        Optional<LocatedNode> node = scalar(field);
        if (node.isEmpty()) {
            if (defaultValue == null && !object.fields().containsKey(field)) {
                addFinding(field, FindingCode.MISSING, "expected field '" + field + "'");
            }
            return defaultValue == null ? placeholder : defaultValue;
        }
        try {
            return parser.apply(node.get().text());
        } catch (IllegalArgumentException e) {
            String message = "field '" + field + "': expected " + expected + ", got '";
            addFinding(field, FindingCode.BAD_VALUE, message + node.get().text() + "'");
            return placeholder;
        }
    }

    /** Returns the strings of a list, empty if the field is missing. */
    List<LocatedNode> texts(String field) {
        List<LocatedNode> texts = new ArrayList<>();
        for (LocatedNode item : items(field)) {
            if (item.kind() == LocatedNode.Kind.SCALAR && !item.text().isEmpty()) {
                texts.add(item);
            } else {
                findings.add(item.place(), FindingCode.BAD_VALUE, "expected a non-empty string");
            }
        }
        return texts;
    }

    /** Returns the objects of a list, empty if the field is missing. */
    List<FieldReader> objects(String field) {
        List<FieldReader> objects = new ArrayList<>();
        for (LocatedNode item : items(field)) {
            if (item.kind() == LocatedNode.Kind.OBJECT) {
                objects.add(new FieldReader(item, findings));
            } else {
                findings.add(item.place(), FindingCode.BAD_VALUE, "expected an object");
            }
        }
        return objects;
    }

    /** Returns weights by name, given as an object or as a list of names, each with weight 1. */
    Map<String, Double> weights(String field) {
        readFields.add(field);
        Map<String, Double> weights = new LinkedHashMap<>();
        LocatedNode node = object.fields().get(field);
        if (node == null || node.kind() != LocatedNode.Kind.OBJECT) {
            texts(field).forEach(item -> weights.put(item.text(), 1.0));
            return weights;
        }
        FieldReader reader = new FieldReader(node, findings);
        for (String name : node.fields().keySet()) {
            weights.put(name, reader.positiveNumber(name, null));
        }
        return weights;
    }

    /** Adds a finding for each field that was not read before. */
    void reportUnknownFields() {
        object.fields()
                .forEach(
                        (name, node) -> {
                            if (!readFields.contains(name)) {
                                String message = "unknown field '" + name + "', expected one of ";
                                findings.add(
                                        node.place(),
                                        FindingCode.UNKNOWN_FIELD,
                                        message + String.join(", ", readFields));
                            }
                        });
    }

    private static double parsePositive(String text) {
        double value = Double.parseDouble(text);
        if (!(value > 0) || Double.isInfinite(value)) {
            throw new NumberFormatException("out of range");
        }
        return value;
    }

    private Optional<LocatedNode> scalar(String field) {
        readFields.add(field);
        LocatedNode node = object.fields().get(field);
        if (node == null) {
            return Optional.empty();
        }
        if (node.kind() != LocatedNode.Kind.SCALAR) {
            addFinding(
                    field, FindingCode.BAD_VALUE, "field '" + field + "': expected a single value");
            return Optional.empty();
        }
        return Optional.of(node);
    }

    private List<LocatedNode> items(String field) {
        readFields.add(field);
        LocatedNode node = object.fields().get(field);
        if (node == null || node.kind() == LocatedNode.Kind.NOTHING) {
            return List.of();
        }
        if (node.kind() != LocatedNode.Kind.ARRAY) {
            addFinding(field, FindingCode.BAD_VALUE, "field '" + field + "': expected a list");
            return List.of();
        }
        return node.items();
    }
}
