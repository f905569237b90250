package io.vanillapoint.core.fleet;

/**
 * State of a customer's token bucket on one VM. Immutable.
 *
 * @param tokens tokens that the VM has admitted since its process started
 * @param level tokens left in the VM's own copy of the customer's bucket
 */
public record CustomerUse(long tokens, long level) {}
