/** Relaying of requests between regions. */
package io.vanillapoint.entry.relay;
