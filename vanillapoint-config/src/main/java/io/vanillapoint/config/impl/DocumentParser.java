package io.vanillapoint.config.impl;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import io.vanillapoint.api.finding.FindingCode;
import io.vanillapoint.api.finding.Findings;
import io.vanillapoint.api.model.Customer;
import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.api.model.Endpoint;
import io.vanillapoint.api.model.KeyDigest;
import io.vanillapoint.api.model.Lifecycle;
import io.vanillapoint.api.model.ModelDeclaration;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.Repeatability;
import io.vanillapoint.api.model.ServiceDeclaration;
import io.vanillapoint.api.model.TokenGrant;
import io.vanillapoint.api.model.Upstream;
import io.vanillapoint.api.model.UpstreamId;
import io.vanillapoint.api.model.UpstreamKind;
import io.vanillapoint.api.model.Vm;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.api.model.ZoneId;
import io.vanillapoint.core.config.ParsedValue;
import io.vanillapoint.core.config.ValueParser;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Parses declaration files (YAML) and published values (JSON), which have the same structure.
 * Stateless and thread-safe.
 */
public final class DocumentParser implements ValueParser {
    /**
     * Stands in for a missing or invalid address, so that the remaining fields are still checked.
     */
    private static final Endpoint PLACEHOLDER_ENDPOINT = new Endpoint("0.0.0.0", 1);

    /** Deepest nesting that is read. Reading a level takes some stack. */
    private static final StreamReadConstraints LIMITS =
            StreamReadConstraints.builder().maxNestingDepth(32).build();

    private final JsonFactory factory;

    private DocumentParser(JsonFactory factory) {
        this.factory = factory;
    }

    /**
     * Creates a parser for the operators' declaration files.
     *
     * @return a YAML parser
     */
    public static DocumentParser yaml() {
        return new DocumentParser(YAMLFactory.builder().streamReadConstraints(LIMITS).build());
    }

    /**
     * Creates a parser for the platform's published values.
     *
     * @return a JSON parser
     */
    public static DocumentParser json() {
        return new DocumentParser(JsonFactory.builder().streamReadConstraints(LIMITS).build());
    }

    @Override
    public ParsedValue parse(String source, String text, Findings findings) {
        return parseLocated(source, text, findings).withoutPlaces();
    }

    /**
     * Parses a document and keeps the place of each entry.
     *
     * @param source name of the file or value
     * @param text content of the file or value
     * @param findings collects the errors found
     * @return entries with their places
     */
    public LocatedDocument parseLocated(String source, String text, Findings findings) {
        Optional<LocatedNode> root = LocatedNode.parse(factory, source, text, findings);
        if (root.isEmpty()) {
            return LocatedDocument.EMPTY;
        }
        if (root.get().kind() != LocatedNode.Kind.OBJECT) {
            findings.add(root.get().place(), FindingCode.BAD_VALUE, "expected an object");
            return LocatedDocument.EMPTY;
        }
        FieldReader reader = new FieldReader(root.get(), findings);
        LocatedDocument document =
                new LocatedDocument(
                        entries(reader, "models", DocumentParser::model),
                        entries(reader, "services", DocumentParser::service),
                        entries(reader, "customers", DocumentParser::customer),
                        entries(reader, "vms", DocumentParser::vm),
                        entries(reader, "upstreams", DocumentParser::upstream));
        reader.reportUnknownFields();
        return document;
    }

    /**
     * Parses a list of objects. Omits entries for which {@code entryParser} returns empty; their
     * findings are kept.
     */
    private static <T> List<Located<T>> entries(
            FieldReader reader, String field, Function<FieldReader, Optional<T>> entryParser) {
        List<Located<T>> entries = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (FieldReader entry : reader.objects(field)) {
            Optional<T> value = entryParser.apply(entry);
            entry.reportUnknownFields();
            String name = entry.text("name").orElse("");
            if (!name.isEmpty() && !names.add(name)) {
                entry.addFinding(
                        "name",
                        FindingCode.DUPLICATE,
                        "name '" + name + "' occurs twice in the list");
            }
            value.ifPresent(
                    entryValue -> entries.add(new Located<>(entry.place("name"), entryValue)));
        }
        return entries;
    }

    private static Optional<ModelDeclaration> model(FieldReader reader) {
        String name = reader.requiredText("name");
        int maxOutputTokens = reader.integer("maxOutputTokens", 1, null);
        return name.isEmpty()
                ? Optional.empty()
                : Optional.of(new ModelDeclaration(name, maxOutputTokens));
    }

    private static Optional<ServiceDeclaration> service(FieldReader reader) {
        String name = reader.requiredText("name");
        boolean openToAll = reader.bool("openToAll", false);
        Repeatability repeatability =
                reader.enumValue("idempotent", Repeatability.class, Repeatability.BY_METHOD);
        int tokensPerCall = reader.integer("tokensPerCall", 0, 0);
        if (name.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new ServiceDeclaration(name, openToAll, repeatability, tokensPerCall));
    }

    private static Optional<Customer> customer(FieldReader reader) {
        String name = reader.requiredText("name");
        double rate = reader.positiveNumber("rate", null);
        double burst = reader.positiveNumber("burst", null);
        Map<String, Double> regions = reader.weights("regions");
        if (regions.isEmpty()) {
            reader.addFinding("regions", FindingCode.MISSING, "expected at least one region");
        }
        List<KeyDigest> keys = keys(reader);
        List<LocatedNode> models = reader.texts("models");
        List<LocatedNode> services = reader.texts("services");
        if (name.isEmpty() || regions.isEmpty()) {
            return Optional.empty();
        }
        Customer.Builder builder =
                Customer.builder(new CustomerId(name), new TokenGrant(rate, burst));
        keys.forEach(builder::key);
        models.forEach(model -> builder.model(model.text()));
        services.forEach(service -> builder.service(service.text()));
        regions.forEach((region, weight) -> builder.region(new RegionId(region), weight));
        return Optional.of(builder.build());
    }

    private static List<KeyDigest> keys(FieldReader reader) {
        List<KeyDigest> keys = new ArrayList<>();
        for (LocatedNode node : reader.texts("keys")) {
            if (KeyDigest.isWellFormed(node.text())) {
                keys.add(new KeyDigest(node.text()));
            } else {
                reader.addFindingAt(
                        node.place(),
                        FindingCode.CLEAR_KEY,
                        "expected the SHA-256 digest of a key in 64 lower-case hexadecimal digits");
            }
        }
        return keys;
    }

    private static Optional<Vm> vm(FieldReader reader) {
        String name = reader.requiredText("name");
        String region = reader.requiredText("region");
        String zone = reader.requiredText("zone");
        Endpoint callers = endpoint(reader, "callers");
        Endpoint peers = endpoint(reader, "peers");
        Endpoint operators = endpoint(reader, "operators");
        Lifecycle state = reader.enumValue("state", Lifecycle.class, Lifecycle.LIVE);
        if (name.isEmpty() || region.isEmpty() || zone.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new Vm(
                        new VmId(name),
                        new RegionId(region),
                        new ZoneId(zone),
                        callers,
                        peers,
                        operators,
                        state));
    }

    private static Optional<Upstream> upstream(FieldReader reader) {
        String name = reader.requiredText("name");
        UpstreamKind kind = reader.enumValue("kind", UpstreamKind.class, null);
        String region = reader.requiredText("region");
        String zone = reader.requiredText("zone");
        Endpoint address = endpoint(reader, "address");
        Set<String> serves =
                reader.texts("serves").stream().map(LocatedNode::text).collect(Collectors.toSet());
        int capacity = reader.integer("capacity", 1, null);
        double cost = reader.positiveNumber("costPerThousandTokens", 1.0);
        Lifecycle state = reader.enumValue("state", Lifecycle.class, Lifecycle.LIVE);
        if (name.isEmpty() || region.isEmpty() || zone.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new Upstream(
                        new UpstreamId(name),
                        kind,
                        new RegionId(region),
                        new ZoneId(zone),
                        address,
                        serves,
                        capacity,
                        cost,
                        state));
    }

    private static Endpoint endpoint(FieldReader reader, String field) {
        return reader.parseField(
                field, "an IP address and port", null, Endpoint::parse, PLACEHOLDER_ENDPOINT);
    }
}
