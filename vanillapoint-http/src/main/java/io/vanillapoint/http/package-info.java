/**
 * HTTP client for replicas, other VMs and the platform, which accepts well-formed responses only,
 * and limits on the requests that arrive at listeners.
 */
package io.vanillapoint.http;
