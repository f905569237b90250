package io.vanillapoint.api.plugin;

import io.vanillapoint.api.model.Upstream;

/**
 * An upstream that may be chosen, with what is known of its load. Immutable.
 *
 * @param upstream the upstream
 * @param runningRequests requests that this VM runs on it
 * @param outstandingTokens tokens reserved by the requests that this VM runs on it
 * @param reportedRequests requests that all VMs run on it by its last report, blended by age
 */
public record UpstreamCandidate(
        Upstream upstream, int runningRequests, long outstandingTokens, double reportedRequests) {
    /**
     * Expected requests per unit of capacity.
     *
     * @return 0 for an idle upstream, 1 for a full one
     */
    public double load() {
        return Math.max(runningRequests, reportedRequests) / upstream.capacity();
    }
}
