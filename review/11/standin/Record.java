import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was sent, answered and run, in milliseconds since the start of the case. */
final class Record {
    private final long startNanos = System.nanoTime();
    private final List<String> lines = new ArrayList<>();

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void add(String line) {
        lines.add(String.format("%7d ms  %s", millis(), line));
    }

    synchronized void write(Path file) throws IOException {
        Files.write(file, lines);
    }
}
