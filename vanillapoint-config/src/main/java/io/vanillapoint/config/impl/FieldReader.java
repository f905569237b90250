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
    private final Set<String> known = new TreeSet<>();

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

    void fault(String field, FindingCode code, String message) {
        findings.add(place(field), code, message);
    }

    void faultAt(Place where, FindingCode code, String message) {
        findings.add(where, code, message);
    }

    String requiredText(String field) {
        Optional<String> text = text(field);
        if (text.isEmpty()) {
            fault(field, FindingCode.MISSING, "expected field '" + field + "'");
        }
        return text.orElse("");
    }

    Optional<String> text(String field) {
        Optional<LocatedNode> node = scalar(field);
        if (node.isPresent() && node.get().text().isEmpty()) {
            fault(
                    field,
                    FindingCode.BAD_VALUE,
                    "field '" + field + "': expected a non-empty string");
            return Optional.empty();
        }
        return node.map(LocatedNode::text);
    }

    double positiveNumber(String field, Double fallback) {
        return parsed(field, "a number greater than 0", fallback, FieldReader::positive, 1.0);
    }

    int wholeNumber(String field, int least, Integer fallback) {
        Function<String, Integer> read =
                text -> {
                    int value = Integer.parseInt(text);
                    if (value < least) {
                        throw new NumberFormatException("below the minimum");
                    }
                    return value;
                };
        return parsed(field, "an integer of at least " + least, fallback, read, Math.max(1, least));
    }

    boolean truth(String field, boolean fallback) {
        Function<String, Boolean> read =
                text -> {
                    if (!text.equals("true") && !text.equals("false")) {
                        throw new IllegalArgumentException("neither");
                    }
                    return text.equals("true");
                };
        return parsed(field, "true or false", fallback, read, fallback);
    }

    <E extends Enum<E>> E choice(String field, Class<E> type, E fallback) {
        String names =
                String.join(
                        ", ",
                        Arrays.stream(type.getEnumConstants())
                                .map(value -> value.name().toLowerCase(Locale.ROOT))
                                .toList());
        Function<String, E> read =
                text -> Enum.valueOf(type, text.toUpperCase(Locale.ROOT).replace('-', '_'));
        return parsed(field, "one of " + names, fallback, read, type.getEnumConstants()[0]);
    }

    /**
     * Reads a field with a function that throws {@link IllegalArgumentException} for invalid text.
     * A missing field yields {@code fallback}, or a finding and {@code afterFault} if there is no
     * fallback; invalid text yields a finding and {@code afterFault}.
     */
    <T> T parsed(
            String field, String expected, T fallback, Function<String, T> read, T afterFault) {
        Optional<LocatedNode> node = scalar(field);
        if (node.isEmpty()) {
            if (fallback == null && !object.fields().containsKey(field)) {
                fault(field, FindingCode.MISSING, "expected field '" + field + "'");
            }
            return fallback == null ? afterFault : fallback;
        }
        try {
            return read.apply(node.get().text());
        } catch (IllegalArgumentException e) {
            String got = "field '" + field + "': expected " + expected + ", got '";
            fault(field, FindingCode.BAD_VALUE, got + node.get().text() + "'");
            return afterFault;
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
        known.add(field);
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
    void refuseUnknown() {
        object.fields()
                .forEach(
                        (name, node) -> {
                            if (!known.contains(name)) {
                                String message = "unknown field '" + name + "', expected one of ";
                                findings.add(
                                        node.place(),
                                        FindingCode.UNKNOWN_FIELD,
                                        message + String.join(", ", known));
                            }
                        });
    }

    private static double positive(String text) {
        double value = Double.parseDouble(text);
        if (!(value > 0) || Double.isInfinite(value)) {
            throw new NumberFormatException("out of range");
        }
        return value;
    }

    private Optional<LocatedNode> scalar(String field) {
        known.add(field);
        LocatedNode node = object.fields().get(field);
        if (node == null) {
            return Optional.empty();
        }
        if (node.kind() != LocatedNode.Kind.SCALAR) {
            fault(field, FindingCode.BAD_VALUE, "field '" + field + "': expected a single value");
            return Optional.empty();
        }
        return Optional.of(node);
    }

    private List<LocatedNode> items(String field) {
        known.add(field);
        LocatedNode node = object.fields().get(field);
        if (node == null || node.kind() == LocatedNode.Kind.NOTHING) {
            return List.of();
        }
        if (node.kind() != LocatedNode.Kind.ARRAY) {
            fault(field, FindingCode.BAD_VALUE, "field '" + field + "': expected a list");
            return List.of();
        }
        return node.items();
    }
}
