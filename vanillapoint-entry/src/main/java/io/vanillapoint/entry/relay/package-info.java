/** Requests that run in another region. */
package io.vanillapoint.entry.relay;
