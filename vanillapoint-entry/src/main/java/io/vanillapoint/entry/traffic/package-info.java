/** Requests of callers from their head to the end of their answer. */
package io.vanillapoint.entry.traffic;
