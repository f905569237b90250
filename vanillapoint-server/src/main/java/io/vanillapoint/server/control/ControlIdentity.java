package io.vanillapoint.server.control;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.limit.SharePolicy;

/**
 * Who this VM is to the parts of the control plane. Immutable.
 *
 * @param vm name of this VM
 * @param region its region
 * @param sharePolicy how VMs share rates
 * @param peerMillis longest wait for a peer's word in milliseconds
 * @param rateWaitMillis longest wait for tokens that are about to flow in, in milliseconds
 * @param firstExchange number of the first exchange; differs between starts of the process
 */
record ControlIdentity(
        VmId vm,
        RegionId region,
        SharePolicy sharePolicy,
        long peerMillis,
        long rateWaitMillis,
        long firstExchange) {}
