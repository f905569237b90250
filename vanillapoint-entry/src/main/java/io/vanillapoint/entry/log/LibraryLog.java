package io.vanillapoint.entry.log;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import io.vertx.core.logging.JULLogDelegateFactory;
import java.util.concurrent.Executor;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/**
 * Forwards warnings of libraries to Log4j, which is loaded only with the first of them: loading it
 * at start-up would cost a restarted VM a third of the processor time that it needs to serve.
 *
 * <p>Safe for use by several threads; writes through the executor that it was given.
 */
public final class LibraryLog extends Handler {
    private static final String VERTX_LOGGER_FACTORY_PROPERTY =
            "vertx.logger-delegate-factory-class-name";

    private final Executor executor;
    private final SimpleFormatter formatter = new SimpleFormatter();

    private LibraryLog(Executor executor) {
        this.executor = executor;
    }

    /**
     * Redirects the logs of the JDK and of the libraries. Must be called before either logs.
     *
     * @param executor runs the writes
     */
    public static void install(Executor executor) {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        System.setProperty(VERTX_LOGGER_FACTORY_PROPERTY, JULLogDelegateFactory.class.getName());
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.setLevel(Level.WARNING);
        root.addHandler(new LibraryLog(executor));
    }

    @Override
    public void publish(LogRecord record) {
        if (isLoggable(record)) {
            executor.execute(() -> write(record));
        }
    }

    @Override
    public void flush() {
        // Nothing is buffered.
    }

    @Override
    public void close() {
        // The executor belongs to the caller.
    }

    private void write(LogRecord record) {
        boolean severe = record.getLevel().intValue() >= Level.SEVERE.intValue();
        org.apache.logging.log4j.LogManager.getLogger(String.valueOf(record.getLoggerName()))
                .log(
                        severe
                                ? org.apache.logging.log4j.Level.ERROR
                                : org.apache.logging.log4j.Level.WARN,
                        formatter.formatMessage(record),
                        record.getThrown());
    }
}
