package io.vanillapoint.api.plugin;

import io.vanillapoint.api.model.Upstream;

/**
 * An upstream that may be chosen, with its known load. Immutable.
 *
 * @param upstream the upstream
 * @param runningRequests requests that this VM runs on it
 * @param outstandingTokens tokens reserved by the requests that this VM runs on it
 * @param estimatedRequests estimated requests that all VMs run on it: those of this VM plus those
 *     of the other VMs in its last report, weighted by the age of the report
 */
public record UpstreamCandidate(
        Upstream upstream, int runningRequests, long outstandingTokens, double estimatedRequests) {
    /**
     * Requests per unit of capacity.
     *
     * @return 0 for an idle upstream, 1 for a full one
     */
    public double load() {
        return Math.max(runningRequests, estimatedRequests) / upstream.capacity();
    }
}
