package io.vanillapoint.api.finding;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects findings so that all of them are reported together. Not safe for use by several threads.
 */
public final class Findings {
    private final List<Finding> findings = new ArrayList<>();
    private final int limit;
    private int omitted;

    /** Creates a collection without a limit. */
    public Findings() {
        this(Integer.MAX_VALUE);
    }

    /**
     * Creates a collection for a value of any size and origin.
     *
     * @param limit largest number of findings that are kept; others are only counted
     */
    public Findings(int limit) {
        this.limit = limit;
    }

    /**
     * Adds a finding.
     *
     * @param place location of the fault
     * @param code kind of fault
     * @param message what was expected and what was found
     */
    public void add(Place place, FindingCode code, String message) {
        keep(new Finding(place, code, message));
    }

    /**
     * Adds the findings of another collection.
     *
     * @param other collection to copy from
     */
    public void addAll(Findings other) {
        other.findings.forEach(this::keep);
        omitted += other.omitted;
    }

    /**
     * Tells whether there are no findings.
     *
     * @return true if there is no finding
     */
    public boolean isEmpty() {
        return findings.isEmpty();
    }

    /**
     * The findings, in the order in which they were added.
     *
     * @return immutable copy
     */
    public List<Finding> list() {
        return List.copyOf(findings);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (Finding finding : findings) {
            text.append(finding).append(System.lineSeparator());
        }
        if (omitted > 0) {
            text.append("and ").append(omitted).append(" more").append(System.lineSeparator());
        }
        return text.toString();
    }

    private void keep(Finding finding) {
        if (findings.size() < limit) {
            findings.add(finding);
        } else {
            omitted++;
        }
    }
}
