package io.vanillapoint.standin.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Outcome that callers saw for each request that must not run twice. Written to the file named by
 * {@code VANILLAPOINT_PUBLISHES}, to be compared with the executions that the services counted.
 * Confined to one thread.
 */
final class PublishOutcomes {
    private static final String FILE_VARIABLE = "VANILLAPOINT_PUBLISHES";

    private final Map<String, String> outcomes = new TreeMap<>();

    void answered(String id) {
        outcomes.put(id, "ran");
    }

    void ended(String id, boolean mayHaveRun) {
        outcomes.put(id, mayHaveRun ? "unknown" : "not_run");
    }

    /** Writes the file if one is named; returns false if writing fails. */
    boolean write(PrintStream out) {
        String file = System.getenv(FILE_VARIABLE);
        if (file == null) {
            return true;
        }
        List<String> lines = new ArrayList<>();
        outcomes.forEach((id, state) -> lines.add(id + " " + state));
        try {
            Files.write(Path.of(file), lines);
            return true;
        } catch (IOException e) {
            out.println("cannot write " + file + ": " + e.getMessage());
            return false;
        }
    }
}
