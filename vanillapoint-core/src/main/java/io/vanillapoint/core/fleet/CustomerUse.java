package io.vanillapoint.core.fleet;

/**
 * What one VM knows of a customer's tokens. Immutable.
 *
 * @param tokens tokens that the VM has admitted since its start
 * @param level tokens that are left to the customer by the VM's own copy of the bucket
 */
public record CustomerUse(long tokens, long level) {}
