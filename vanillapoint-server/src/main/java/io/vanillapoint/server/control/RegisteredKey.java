package io.vanillapoint.server.control;

import io.vanillapoint.core.idempotency.KeyDecision;
import io.vanillapoint.core.idempotency.KeyRegistration;

/**
 * A key registration with its decision. The registration must be used only on the control thread;
 * other threads may only pass it back.
 *
 * @param registration registration of the attempt
 * @param decision whether to run the request
 */
public record RegisteredKey(KeyRegistration registration, KeyDecision decision) {}
