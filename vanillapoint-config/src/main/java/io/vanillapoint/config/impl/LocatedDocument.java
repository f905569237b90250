package io.vanillapoint.config.impl;

import io.vanillapoint.api.model.Customer;
import io.vanillapoint.api.model.ModelDeclaration;
import io.vanillapoint.api.model.ServiceDeclaration;
import io.vanillapoint.api.model.Upstream;
import io.vanillapoint.api.model.Vm;
import io.vanillapoint.core.config.ParsedValue;
import java.util.List;

/**
 * Entries of one document with their places. Immutable.
 *
 * @param models models
 * @param services services
 * @param customers customers
 * @param vms VMs
 * @param upstreams upstreams
 */
public record LocatedDocument(
        List<Located<ModelDeclaration>> models,
        List<Located<ServiceDeclaration>> services,
        List<Located<Customer>> customers,
        List<Located<Vm>> vms,
        List<Located<Upstream>> upstreams) {
    /** A document without entries. */
    public static final LocatedDocument EMPTY =
            new LocatedDocument(List.of(), List.of(), List.of(), List.of(), List.of());

    /** Copies the lists. */
    public LocatedDocument {
        models = List.copyOf(models);
        services = List.copyOf(services);
        customers = List.copyOf(customers);
        vms = List.copyOf(vms);
        upstreams = List.copyOf(upstreams);
    }

    /**
     * Returns the entries without their places.
     *
     * @return entries
     */
    public ParsedValue withoutPlaces() {
        return new ParsedValue(
                values(models),
                values(services),
                values(customers),
                values(vms),
                values(upstreams));
    }

    private static <T> List<T> values(List<Located<T>> located) {
        return located.stream().map(Located::value).toList();
    }
}
