package io.vanillapoint.core.message;

import io.vanillapoint.api.model.VmId;

/**
 * A VM that counts in the split of the region's rate. Immutable.
 *
 * @param vm name of the VM
 * @param listedAt a revision of the platform's list in which it was seen
 */
public record Member(VmId vm, long listedAt) {}
