package io.vanillapoint.standin.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;

/**
 * Traffic of one deployment, read from a YAML file. Immutable.
 *
 * @param name name for reports
 * @param regions regions, ordered by the time of their peak
 * @param customers customers with their traffic
 */
public record Profile(String name, List<Region> regions, List<CustomerTraffic> customers) {
    /** Copies the lists. */
    public Profile {
        regions = List.copyOf(regions);
        customers = List.copyOf(customers);
    }

    /**
     * Reads a profile.
     *
     * @param file YAML file
     * @return the profile
     */
    public static Profile read(Path file) {
        try {
            return new ObjectMapper(new YAMLFactory()).readValue(file.toFile(), Profile.class);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * One region. Immutable.
     *
     * @param name name of the region
     * @param peakAt fraction of the run at which its traffic peaks, from 0 to 1
     * @param costPerThousandTokens price of a thousand tokens in the region
     */
    public record Region(String name, double peakAt, double costPerThousandTokens) {}

    /**
     * Traffic of one customer. Immutable.
     *
     * @param name name of the customer
     * @param key API key
     * @param requestsPerSecond request rate, mean over the run, sum of all regions
     * @param ratePerSecond declared rate in tokens per second
     * @param burst declared burst in tokens
     * @param regions regions of its callers
     * @param kinds kinds of its requests
     */
    public record CustomerTraffic(
            String name,
            String key,
            double requestsPerSecond,
            double ratePerSecond,
            double burst,
            List<String> regions,
            List<RequestKind> kinds) {
        /** Copies the lists. */
        public CustomerTraffic {
            regions = List.copyOf(regions);
            kinds = List.copyOf(kinds);
        }
    }

    /**
     * One kind of request. Immutable.
     *
     * @param name name for reports
     * @param weight weight among the customer's requests
     * @param publish true for a request that must not run twice
     * @param model requested model, unused for publishes
     * @param promptCharacters length of the prompt
     * @param prefixes number of different prompt prefixes
     * @param maxTokens maximum number of output tokens
     */
    public record RequestKind(
            String name,
            double weight,
            boolean publish,
            String model,
            int promptCharacters,
            int prefixes,
            int maxTokens) {}
}
