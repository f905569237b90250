package io.vanillapoint.emulator.scenario;

import java.util.List;

/**
 * One region. Immutable.
 *
 * @param name name
 * @param vms entry VMs
 * @param engines engines
 * @param requestsPerSecond mean rate of its callers
 * @param shape rate relative to the mean, one number for each equal part of the run
 */
public record RegionFigures(
        String name, int vms, int engines, double requestsPerSecond, List<Double> shape) {
    /** Copies the shape. */
    public RegionFigures {
        shape = List.copyOf(shape);
    }

    /**
     * Rate at a point of the run.
     *
     * @param part point in [0, 1)
     * @return requests a second
     */
    public double rate(double part) {
        int index = (int) Math.min(shape.size() - 1, part * shape.size());
        return requestsPerSecond * shape.get(index);
    }
}
