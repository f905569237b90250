package io.vanillapoint.api.plugin;

/**
 * A plug-in. Implementations are found with {@link java.util.ServiceLoader}, have a public
 * no-argument constructor and register their extensions through the context.
 */
public interface GatewayModule {
    /**
     * Name used in messages.
     *
     * @return short text
     */
    String moduleName();

    /**
     * Registers the module's extensions. Called once, at the start of the process.
     *
     * @param context registry for the extensions
     */
    void setup(SetupContext context);
}
