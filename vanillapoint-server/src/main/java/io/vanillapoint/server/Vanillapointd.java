package io.vanillapoint.server;

import io.vanillapoint.runtime.Signals;
import io.vanillapoint.server.settings.DaemonSettings;
import io.vanillapoint.server.settings.SettingsReader;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;

/** Entry point of the daemon. */
public final class Vanillapointd {
    private static final int EXIT_INVALID_SETTINGS = 2;
    private static final int EXIT_START_FAILED = 3;

    private Vanillapointd() {}

    /**
     * Runs the daemon until its graceful shutdown has ended.
     *
     * @param args command line flags
     */
    public static void main(String[] args) {
        SettingsReader reader = new SettingsReader();
        Optional<DaemonSettings> settings = reader.read(List.of(args), System.getenv());
        if (reader.helpRequested()) {
            System.out.print(reader.help());
            return;
        }
        if (settings.isEmpty()) {
            System.err.print(reader.findings());
            System.exit(EXIT_INVALID_SETTINGS);
        }
        run(new Daemon(settings.orElseThrow()));
    }

    private static void run(Daemon daemon) {
        CountDownLatch ended = new CountDownLatch(1);
        Signals.handle("TERM", daemon::drain);
        Signals.handle("INT", daemon::drain);
        daemon.stopped().onSuccess(abortedRequests -> ended.countDown());
        daemon.start()
                .onFailure(
                        error -> {
                            System.err.println("can't start: " + error.getMessage());
                            System.exit(EXIT_START_FAILED);
                        });
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LogManager.shutdown();
        System.exit(0);
    }
}
