import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry VM as a process, with the command of the deploy file. */
final class EntryVm {
    final String name;
    final String ip;
    final String region;
    final Ports ports;
    private final Path root;
    private final Path settings;
    private final File log;
    private Process process;

    /** Ports, equal on all VMs. */
    record Ports(int front, int ready, int control, int directory, int internal) {}

    EntryVm(
            Path root,
            Path folder,
            String name,
            String ip,
            String zone,
            String region,
            Ports ports,
            String settingsText)
            throws IOException {
        this.root = root;
        this.name = name;
        this.ip = ip;
        this.region = region;
        this.ports = ports;
        settings = folder.resolve(name + ".json");
        log = folder.resolve(name + ".log").toFile();
        Files.writeString(settings, settingsText);
    }

    void start() throws IOException {
        Matcher run =
                Pattern.compile("(?m)^run = \"([^\"]+)\"")
                        .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IllegalStateException("no command in deploy/system.toml");
        }
        List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
        command.set(0, Path.of(System.getProperty("java.home"), "bin", command.get(0)).toString());
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().clear();
        builder.environment().put("PATH", System.getenv("PATH"));
        builder.environment().put("VANILLAPOINT_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
    }

    /** Sends a signal to this process. */
    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Waits for the end of the process and returns its exit code. */
    int awaitExit() throws InterruptedException {
        return process.waitFor();
    }

    boolean isRunning() {
        return process != null && process.isAlive();
    }

    void kill() {
        if (process == null) {
            return;
        }
        process.destroyForcibly();
        try {
            process.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    boolean ready() {
        return Caller.get(ip, ports.ready(), "/-/readiness", 1_000).status() == 200;
    }
}
