package io.vanillapoint.config.impl;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import io.vanillapoint.api.finding.FindingCode;
import io.vanillapoint.api.finding.Findings;
import io.vanillapoint.api.finding.Place;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A node of a YAML or JSON document with its source location. Immutable after {@link #parse}. */
final class LocatedNode {
    private final Place place;
    private final Kind kind;
    private final String text;
    private final Map<String, LocatedNode> fields = new LinkedHashMap<>();
    private final List<LocatedNode> items = new ArrayList<>();

    private LocatedNode(Place place, Kind kind, String text) {
        this.place = place;
        this.kind = kind;
        this.text = text;
    }

    /** Parses a document. A syntax error is added as a finding and gives an empty result. */
    static Optional<LocatedNode> parse(
            JsonFactory factory, String source, String text, Findings findings) {
        try (JsonParser parser = factory.createParser(text)) {
            if (parser.nextToken() == null) {
                Place start = new Place(source, 1, 1, "");
                findings.add(start, FindingCode.SYNTAX, "expected a document, got empty text");
                return Optional.empty();
            }
            return Optional.of(node(parser, source, "", findings));
        } catch (JsonProcessingException e) {
            Place place = place(source, "", e.getLocation());
            findings.add(place, FindingCode.SYNTAX, firstLine(e.getOriginalMessage()));
            return Optional.empty();
        } catch (IOException e) {
            findings.add(Place.of(source), FindingCode.UNREADABLE, String.valueOf(e.getMessage()));
            return Optional.empty();
        }
    }

    Place place() {
        return place;
    }

    Kind kind() {
        return kind;
    }

    String text() {
        return text;
    }

    Map<String, LocatedNode> fields() {
        return fields;
    }

    List<LocatedNode> items() {
        return items;
    }

    private static LocatedNode node(
            JsonParser parser, String source, String path, Findings findings) throws IOException {
        Place place = place(source, path, parser.currentTokenLocation());
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT) {
            return object(parser, source, path, place, findings);
        }
        if (token == JsonToken.START_ARRAY) {
            return array(parser, source, path, place, findings);
        }
        Kind kind = token == JsonToken.VALUE_NULL ? Kind.NOTHING : Kind.SCALAR;
        return new LocatedNode(place, kind, parser.getText());
    }

    private static LocatedNode object(
            JsonParser parser, String source, String path, Place place, Findings findings)
            throws IOException {
        LocatedNode object = new LocatedNode(place, Kind.OBJECT, "");
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            Place fieldPlace = place(source, path + "/" + name, parser.currentTokenLocation());
            parser.nextToken();
            LocatedNode value = node(parser, source, path + "/" + name, findings);
            if (object.fields.putIfAbsent(name, value) != null) {
                findings.add(
                        fieldPlace, FindingCode.DUPLICATE, "field '" + name + "' occurs twice");
            }
        }
        return object;
    }

    private static LocatedNode array(
            JsonParser parser, String source, String path, Place place, Findings findings)
            throws IOException {
        LocatedNode array = new LocatedNode(place, Kind.ARRAY, "");
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            String itemPath = path + "/" + array.items.size();
            array.items.add(node(parser, source, itemPath, findings));
        }
        return array;
    }

    private static Place place(String source, String path, JsonLocation location) {
        if (location == null) {
            return new Place(source, 0, 0, path);
        }
        return new Place(source, location.getLineNr(), location.getColumnNr(), path);
    }

    private static String firstLine(String message) {
        return message == null ? "malformed text" : message.lines().findFirst().orElse("");
    }

    /** Type of a node. */
    enum Kind {
        /** An object with named fields. */
        OBJECT,
        /** A list. */
        ARRAY,
        /** A string, number or boolean. */
        SCALAR,
        /** Null. */
        NOTHING
    }
}
