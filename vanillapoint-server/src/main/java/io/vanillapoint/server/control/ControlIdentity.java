package io.vanillapoint.server.control;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.limit.SharePolicy;

/**
 * Identity of this VM and the settings that the parts of the control plane share. Immutable.
 *
 * @param vm name of this VM
 * @param region its region
 * @param sharePolicy how VMs share rates
 * @param peerTimeoutMillis longest wait for a peer's reply in milliseconds
 * @param rateWaitMillis longest wait for tokens to be refilled before a request is refused, in
 *     milliseconds
 * @param firstExchangeId id of the first request to a peer; differs between starts of the process,
 *     so that ids are not reused after a restart
 */
record ControlIdentity(
        VmId vm,
        RegionId region,
        SharePolicy sharePolicy,
        long peerTimeoutMillis,
        long rateWaitMillis,
        long firstExchangeId) {}
