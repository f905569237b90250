package io.vanillapoint.core.retry;

/**
 * How many retries all VMs together may send to one service in one window. Immutable.
 *
 * @param ratio retries for each request
 * @param slack retries beyond that
 * @param windowMillis length of the window in milliseconds
 */
public record RetryBounds(double ratio, double slack, long windowMillis) {}
