package io.vanillapoint.emulator.scenario;

import java.util.List;

/**
 * Size and traffic of a region. Immutable.
 *
 * @param name name
 * @param vms number of entry VMs
 * @param engines number of engines
 * @param requestsPerSecond mean request rate
 * @param shape rate relative to the mean, one factor for each equal part of the run
 */
public record RegionParameters(
        String name, int vms, int engines, double requestsPerSecond, List<Double> shape) {
    /** Copies the shape. */
    public RegionParameters {
        shape = List.copyOf(shape);
    }

    /**
     * Request rate at a point of the run.
     *
     * @param part elapsed fraction of the run, in [0, 1)
     * @return requests per second
     */
    public double rate(double part) {
        int index = (int) Math.min(shape.size() - 1, part * shape.size());
        return requestsPerSecond * shape.get(index);
    }
}
