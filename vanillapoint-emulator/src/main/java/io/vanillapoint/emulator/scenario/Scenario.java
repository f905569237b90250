package io.vanillapoint.emulator.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A deployment with its traffic and disruptions. Immutable.
 *
 * @param name name for tables
 * @param seconds length of the run
 * @param regionDelayMillis one-way delay between regions
 * @param engine speed and capacity of every engine
 * @param regions regions
 * @param kinds kinds of requests
 * @param troubles disruptions during the run
 */
public record Scenario(
        String name,
        double seconds,
        double regionDelayMillis,
        EngineParameters engine,
        List<RegionParameters> regions,
        List<RequestKind> kinds,
        List<Trouble> troubles) {
    private static final ObjectMapper MAPPER =
            new ObjectMapper(new YAMLFactory())
                    .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

    /** Copies the lists. */
    public Scenario {
        regions = List.copyOf(regions);
        kinds = List.copyOf(kinds);
        troubles = List.copyOf(troubles);
    }

    /**
     * Reads a scenario.
     *
     * @param file path of a YAML file
     * @return the scenario
     * @throws VanillapointException if the file can't be read or parsed, with file and line of the
     *     first error
     */
    public static Scenario read(Path file) {
        try {
            return MAPPER.readValue(Files.readString(file), Scenario.class);
        } catch (JsonProcessingException e) {
            String line = e.getLocation() == null ? "" : ":" + e.getLocation().getLineNr();
            throw new VanillapointException(
                    ErrorCode.INVALID_SETTINGS, file + line, e.getOriginalMessage());
        } catch (IOException e) {
            throw new VanillapointException(
                    ErrorCode.INVALID_SETTINGS, file.toString(), "cannot read the scenario: " + e);
        }
    }

    /**
     * Scales the traffic of all regions.
     *
     * @param factor factor on the request rates
     * @return scaled copy
     */
    public Scenario withLoad(double factor) {
        List<RegionParameters> scaled =
                regions.stream()
                        .map(
                                region ->
                                        new RegionParameters(
                                                region.name(),
                                                region.vms(),
                                                region.engines(),
                                                region.requestsPerSecond() * factor,
                                                region.shape()))
                        .toList();
        return new Scenario(name, seconds, regionDelayMillis, engine, scaled, kinds, troubles);
    }
}
