package io.vanillapoint.core.config;

import io.vanillapoint.api.model.Customer;
import io.vanillapoint.api.model.GatewayConfig;
import io.vanillapoint.api.model.ModelDeclaration;
import io.vanillapoint.api.model.ServiceDeclaration;
import io.vanillapoint.api.model.Upstream;
import io.vanillapoint.api.model.Vm;
import java.util.List;

/**
 * Parsed content of one published value or declaration file. Immutable.
 *
 * @param models models
 * @param services services
 * @param customers customers
 * @param vms VMs
 * @param upstreams upstreams
 */
public record ParsedValue(
        List<ModelDeclaration> models,
        List<ServiceDeclaration> services,
        List<Customer> customers,
        List<Vm> vms,
        List<Upstream> upstreams) {
    /** Copies the lists. */
    public ParsedValue {
        models = List.copyOf(models);
        services = List.copyOf(services);
        customers = List.copyOf(customers);
        vms = List.copyOf(vms);
        upstreams = List.copyOf(upstreams);
    }

    /**
     * Adds the content to a configuration.
     *
     * @param builder builder of the configuration
     */
    public void addTo(GatewayConfig.Builder builder) {
        models.forEach(builder::model);
        services.forEach(builder::service);
        customers.forEach(builder::customer);
        vms.forEach(builder::vm);
        upstreams.forEach(builder::upstream);
    }
}
