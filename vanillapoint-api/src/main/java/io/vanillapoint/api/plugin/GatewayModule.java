package io.vanillapoint.api.plugin;

/**
 * A plug-in. Implementations are found with {@link java.util.ServiceLoader}, have a public
 * constructor without arguments and register what they bring through the context.
 */
public interface GatewayModule {
    /**
     * Name for messages.
     *
     * @return short text
     */
    String moduleName();

    /**
     * Registers what the module brings. Called once, at the start of the process.
     *
     * @param context where to register
     */
    void setup(SetupContext context);
}
