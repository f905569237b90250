package io.vanillapoint.core.message;

import io.vanillapoint.api.model.VmId;

/**
 * A message with its receiver. Immutable.
 *
 * @param to receiver
 * @param message what to send
 */
public record Outgoing(VmId to, PeerMessage message) {}
