package io.vanillapoint.runtime;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import java.lang.reflect.Proxy;

/**
 * Installs handlers for operating system signals. A shutdown hook can't distinguish a second signal
 * from the first, so this uses the JDK's internal signal class, through reflection because the
 * compiler warns about each direct use. Stateless.
 */
public final class Signals {
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private Signals() {}

    /**
     * Runs an action each time a signal arrives.
     *
     * @param name signal name without the SIG prefix, for example TERM
     * @param action action to run, on a separate thread
     */
    public static void handle(String name, Runnable action) {
        try {
            Class<?> signalClass = Class.forName(SIGNAL_CLASS);
            Class<?> handlerClass = Class.forName(HANDLER_CLASS);
            Object signal = signalClass.getConstructor(String.class).newInstance(name);
            Object handler =
                    Proxy.newProxyInstance(
                            Signals.class.getClassLoader(),
                            new Class<?>[] {handlerClass},
                            (proxy, method, arguments) -> {
                                action.run();
                                return null;
                            });
            signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(null, signal, handler);
        } catch (ReflectiveOperationException e) {
            throw new VanillapointException(
                    ErrorCode.INTERNAL, "signal " + name, "can't install a signal handler: " + e);
        }
    }
}
