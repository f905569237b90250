package io.vanillapoint.core.fleet;

/**
 * Tokens that another VM admitted between its previous report and its latest one. Immutable.
 *
 * @param customer name of the customer
 * @param tokens tokens, negative if more were returned than admitted
 * @param reservedMillis time for which this VM reserved the customer's full rate for the other VM
 *     while that was silent: the length of the silence divided by the number of VMs
 * @param level tokens left in the other VM's copy of the bucket
 */
public record CustomerSpend(String customer, long tokens, double reservedMillis, long level) {}
