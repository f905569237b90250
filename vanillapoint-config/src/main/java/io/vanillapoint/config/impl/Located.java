package io.vanillapoint.config.impl;

import io.vanillapoint.api.finding.Place;

/**
 * A value with the place where it is declared. Immutable.
 *
 * @param place place of the declaration
 * @param value the value
 * @param <T> type of the value
 */
public record Located<T>(Place place, T value) {}
