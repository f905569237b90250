package io.vanillapoint.cli.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads decision logs of many VMs. Text before the JSON object of a line, such as the timestamp of
 * a log collector, is skipped. Not safe for use by several threads.
 */
public final class DecisionLogReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final List<Decision> decisions = new ArrayList<>();
    private int unparsableLines;

    /**
     * Reads a file.
     *
     * @param file path of the file
     * @throws VanillapointException if the file cannot be read
     */
    public void read(Path file) {
        try (BufferedReader lines = Files.newBufferedReader(file)) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                parse(line);
            }
        } catch (IOException e) {
            throw new VanillapointException(
                    ErrorCode.INTERNAL, file.toString(), "can't be read: " + e);
        }
    }

    /**
     * All decisions that were read.
     *
     * @return immutable copy, in the order of the files
     */
    public List<Decision> decisions() {
        return List.copyOf(decisions);
    }

    /**
     * Lines that look like decisions but could not be parsed.
     *
     * @return number of lines
     */
    public int unparsableLines() {
        return unparsableLines;
    }

    private void parse(String line) {
        int brace = line.indexOf("{\"at\"");
        if (brace < 0) {
            return;
        }
        try {
            Decision.of(MAPPER.readTree(line.substring(brace))).ifPresent(decisions::add);
        } catch (JsonProcessingException e) {
            unparsableLines++;
        }
    }
}
