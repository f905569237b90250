package io.vanillapoint.core.retry;

/**
 * Limit on the retries that all VMs together may send to one service in one window. Immutable.
 *
 * @param ratio retries per request
 * @param slack retries in addition to the ratio
 * @param windowMillis length of the window in milliseconds
 */
public record RetryBounds(double ratio, double slack, long windowMillis) {}
