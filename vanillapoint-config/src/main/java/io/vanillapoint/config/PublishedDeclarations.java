package io.vanillapoint.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vanillapoint.api.model.Customer;
import io.vanillapoint.api.model.ModelDeclaration;
import io.vanillapoint.api.model.ServiceDeclaration;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Declarations as JSON values for the platform's configuration service: one value with models and
 * services, and the customers split into shards, so that each VM has to read only one small value
 * after a change. Immutable.
 *
 * <p>Invariant: equal declarations give identical bytes.
 */
public final class PublishedDeclarations {
    /** Key of the value with models and services. */
    public static final String CATALOG_KEY = "declarations/catalog";

    /** Prefix of the keys of the values with customers. */
    public static final String CUSTOMERS_PREFIX = "declarations/customers-";

    private static final int CUSTOMER_SHARDS = 64;
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private final Map<String, String> values;

    private PublishedDeclarations(Map<String, String> values) {
        this.values = Collections.unmodifiableMap(values);
    }

    /**
     * Builds the values.
     *
     * @param models models, sorted by name
     * @param services services, sorted by name
     * @param customers customers, sorted by name
     * @return the values
     */
    static PublishedDeclarations of(
            List<ModelDeclaration> models,
            List<ServiceDeclaration> services,
            List<Customer> customers) {
        Map<String, ObjectNode> documents = new TreeMap<>();
        documents.put(CATALOG_KEY, catalog(models, services));
        for (Customer customer : customers) {
            ObjectNode shard =
                    documents.computeIfAbsent(shardKey(customer), key -> MAPPER.createObjectNode());
            shard.withArray("customers").add(customer(customer));
        }
        Map<String, String> values = new TreeMap<>();
        documents.forEach((key, document) -> values.put(key, toJson(document)));
        return new PublishedDeclarations(values);
    }

    /**
     * Returns the values by key.
     *
     * @return immutable sorted map of JSON documents
     */
    public Map<String, String> values() {
        return values;
    }

    private static String shardKey(Customer customer) {
        int shard = Math.floorMod(customer.id().value().hashCode(), CUSTOMER_SHARDS);
        return CUSTOMERS_PREFIX + String.format(Locale.ROOT, "%02d", shard);
    }

    private static ObjectNode catalog(
            List<ModelDeclaration> models, List<ServiceDeclaration> services) {
        ObjectNode document = MAPPER.createObjectNode();
        ArrayNode modelNodes = document.putArray("models");
        for (ModelDeclaration model : models) {
            ObjectNode node = modelNodes.addObject();
            node.put("name", model.name());
            node.put("maxOutputTokens", model.maxOutputTokens());
        }
        ArrayNode serviceNodes = document.putArray("services");
        for (ServiceDeclaration service : services) {
            ObjectNode node = serviceNodes.addObject();
            node.put("name", service.name());
            node.put("openToAll", service.openToAll());
            node.put("idempotent", service.idempotent().name().toLowerCase(Locale.ROOT));
            node.put("tokensPerCall", service.tokensPerCall());
        }
        return document;
    }

    private static ObjectNode customer(Customer customer) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("name", customer.id().value());
        node.put("rate", customer.grant().ratePerSecond());
        node.put("burst", customer.grant().burst());
        ObjectNode regions = node.putObject("regions");
        customer.regionWeights().forEach((region, weight) -> regions.put(region.value(), weight));
        addSorted(node.putArray("keys"), customer.keys().stream().map(key -> key.hex()).toList());
        addSorted(node.putArray("models"), customer.models());
        addSorted(node.putArray("services"), customer.services());
        return node;
    }

    private static void addSorted(ArrayNode array, Collection<String> strings) {
        strings.stream().sorted().forEach(array::add);
    }

    private static String toJson(ObjectNode document) {
        try {
            return MAPPER.writeValueAsString(document) + "\n";
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(
                    "failed to serialize a JSON tree of strings, numbers and booleans", e);
        }
    }
}
