package io.vanillapoint.entry.traffic;

import io.vanillapoint.core.quarantine.AttemptStage;

/**
 * Attempt whose connection broke before its response had ended. Immutable.
 *
 * @param plan the request
 * @param stage how far the response was
 */
record BrokenAttempt(RequestPlan plan, AttemptStage stage) {}
