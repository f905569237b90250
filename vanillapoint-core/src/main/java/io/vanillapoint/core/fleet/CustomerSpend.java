package io.vanillapoint.core.fleet;

/**
 * Tokens that another VM has admitted since its report before. Immutable.
 *
 * @param customer name of the customer
 * @param tokens tokens, negative if more were given back than admitted
 */
public record CustomerSpend(String customer, long tokens) {}
