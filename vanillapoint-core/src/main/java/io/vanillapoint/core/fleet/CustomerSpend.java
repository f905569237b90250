package io.vanillapoint.core.fleet;

/**
 * Tokens that another VM has admitted since its report before. Immutable.
 *
 * @param customer name of the customer
 * @param tokens tokens, negative if more were given back than admitted
 * @param setAsideMillis how long this VM has kept the customer's whole rate for the other VM while
 *     it was silent: the length of the silence, divided by the number of VMs
 * @param level tokens that are left by the other VM's copy of the bucket
 */
public record CustomerSpend(String customer, long tokens, double setAsideMillis, long level) {}
