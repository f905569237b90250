package io.vanillapoint.server.control;

import io.vanillapoint.core.idempotency.KeyDecision;
import io.vanillapoint.core.idempotency.KeyRegistration;

/**
 * A registration with its decision. The registration may be handed back to the control thread and
 * must not be used elsewhere.
 *
 * @param registration the attempt
 * @param decision what to do
 */
public record RegisteredKey(KeyRegistration registration, KeyDecision decision) {}
