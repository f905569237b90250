package io.vanillapoint.entry.control;

import io.vanillapoint.core.fleet.FleetReport;

/** Makes this VM's heartbeats. */
@FunctionalInterface
public interface ReportSource {
    /**
     * Makes the next heartbeat.
     *
     * @param namesOthers true if it is to name all VMs that this one has heard of
     * @return the heartbeat
     */
    FleetReport next(boolean namesOthers);
}
