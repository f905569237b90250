package io.vanillapoint.core.message;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.VmId;

/**
 * One VM that a request has visited. Immutable.
 *
 * @param vm the VM
 * @param region its region
 */
public record Hop(VmId vm, RegionId region) {}
