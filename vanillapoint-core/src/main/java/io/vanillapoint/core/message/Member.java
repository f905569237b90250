package io.vanillapoint.core.message;

import io.vanillapoint.api.model.VmId;

/**
 * A VM that receives a part of the region's rate. Immutable.
 *
 * @param vm name of the VM
 * @param listedAt a revision of the platform's list that contains the VM
 */
public record Member(VmId vm, long listedAt) {}
