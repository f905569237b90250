package io.vanillapoint.entry.control;

import io.vanillapoint.core.fleet.FleetReport;
import io.vanillapoint.core.fleet.ReportKind;

/** Builds this VM's heartbeats. */
@FunctionalInterface
public interface ReportSource {
    /**
     * Builds the next heartbeat.
     *
     * @param kind purpose of the heartbeat
     * @return the heartbeat
     */
    FleetReport next(ReportKind kind);
}
