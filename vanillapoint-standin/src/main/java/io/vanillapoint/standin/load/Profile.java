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
 * @param regions regions in the order in which their peaks come
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
     * @param peakAt part of the run at which its traffic is highest, from 0 to 1
     * @param costPerThousandTokens price of a thousand tokens there
     */
    public record Region(String name, double peakAt, double costPerThousandTokens) {}

    /**
     * Traffic of one customer. Immutable.
     *
     * @param name name of the customer
     * @param key its key
     * @param requestsPerSecond mean over the run and all regions
     * @param ratePerSecond its declared rate in tokens a second
     * @param burst its declared burst in tokens
     * @param regions regions from which its callers come
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
     * @param weight share among the customer's requests
     * @param publish true for a request that may run only once
     * @param model model to ask, unused for publishes
     * @param promptCharacters length of the prompt
     * @param prefixes number of different prompt prefixes
     * @param maxTokens output cap
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
