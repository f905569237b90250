package io.vanillapoint.core.fleet;

/**
 * Observation of a VM with its age. Immutable.
 *
 * @param info what the VM reported about itself
 * @param ageMillis time since the VM was last heard of, directly or through another VM
 */
public record MemberObservation(MemberInfo info, long ageMillis) {}
