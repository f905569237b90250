package io.vanillapoint.config;

import io.vanillapoint.api.finding.FindingCode;
import io.vanillapoint.api.finding.Findings;
import io.vanillapoint.api.finding.Place;
import io.vanillapoint.api.model.Customer;
import io.vanillapoint.api.model.KeyDigest;
import io.vanillapoint.api.model.ModelDeclaration;
import io.vanillapoint.api.model.ServiceDeclaration;
import io.vanillapoint.config.impl.DocumentParser;
import io.vanillapoint.config.impl.Located;
import io.vanillapoint.config.impl.LocatedDocument;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Merges the declaration files of several teams. Two declarations with the same name, or with the
 * same key, are reported as findings at both places; neither takes precedence.
 *
 * <p>Usage: add each file, then read the findings and the values. The result does not depend on the
 * order of the files. Not thread-safe.
 */
public final class DeclarationCollector {
    private final Findings findings = new Findings();
    private final Map<String, Located<ModelDeclaration>> models = new TreeMap<>();
    private final Map<String, Located<ServiceDeclaration>> services = new TreeMap<>();
    private final Map<String, Located<Customer>> customers = new TreeMap<>();
    private final Map<KeyDigest, Place> keyPlaces = new HashMap<>();

    /**
     * Adds a declaration file.
     *
     * @param source name of the file
     * @param text content of the file
     */
    public void add(String source, String text) {
        LocatedDocument document = DocumentParser.yaml().parseLocated(source, text, findings);
        rejectPlatformEntries(document);
        addEntries("model", document.models(), models, ModelDeclaration::name);
        addEntries("service", document.services(), services, ServiceDeclaration::name);
        addEntries("customer", document.customers(), customers, customer -> customer.id().value());
        document.customers().forEach(this::addKeys);
    }

    /**
     * Returns the findings of all files, including references to undeclared models and services,
     * which can be checked only after all files are added.
     *
     * @return all findings
     */
    public Findings findings() {
        Findings all = new Findings();
        all.addAll(findings);
        for (Located<Customer> customer : customers.values()) {
            Customer value = customer.value();
            checkDeclared(all, customer.place(), "model", value.models(), models);
            checkDeclared(all, customer.place(), "service", value.services(), services);
        }
        return all;
    }

    /**
     * Builds the values to publish.
     *
     * @return the values, equal for equal declarations
     * @throws IllegalStateException if there are findings
     */
    public PublishedDeclarations publish() {
        Findings all = findings();
        if (!all.isEmpty()) {
            throw new IllegalStateException("expected no findings, got:\n" + all);
        }
        return PublishedDeclarations.of(
                values(models.values()), values(services.values()), values(customers.values()));
    }

    private static <T> List<T> values(Collection<Located<T>> located) {
        return located.stream().map(Located::value).toList();
    }

    private <T> void addEntries(
            String kind,
            List<Located<T>> entries,
            Map<String, Located<T>> declared,
            Function<T, String> name) {
        for (Located<T> entry : entries) {
            String entryName = name.apply(entry.value());
            Located<T> earlier = declared.putIfAbsent(entryName, entry);
            if (earlier != null) {
                String message = kind + " '" + entryName + "' is also declared at ";
                findings.add(entry.place(), FindingCode.DUPLICATE, message + earlier.place());
                findings.add(earlier.place(), FindingCode.DUPLICATE, message + entry.place());
            }
        }
    }

    private void addKeys(Located<Customer> customer) {
        for (KeyDigest key : customer.value().keys()) {
            Place earlier = keyPlaces.putIfAbsent(key, customer.place());
            if (earlier != null && !earlier.equals(customer.place())) {
                String message = "a key of this customer is also granted at ";
                findings.add(customer.place(), FindingCode.DUPLICATE, message + earlier);
                findings.add(earlier, FindingCode.DUPLICATE, message + customer.place());
            }
        }
    }

    private void rejectPlatformEntries(LocatedDocument document) {
        document.vms().forEach(vm -> reject(vm.place(), "VMs"));
        document.upstreams().forEach(upstream -> reject(upstream.place(), "upstreams"));
    }

    private void reject(Place place, String kind) {
        String message = kind + " are listed by the platform, not declared";
        findings.add(place, FindingCode.UNKNOWN_FIELD, message);
    }

    private static void checkDeclared(
            Findings all,
            Place place,
            String kind,
            Collection<String> names,
            Map<String, ?> declared) {
        for (String name : names) {
            if (!declared.containsKey(name)) {
                String message = kind + " '" + name + "' is not declared in any file";
                all.add(place, FindingCode.UNDECLARED, message);
            }
        }
    }
}
