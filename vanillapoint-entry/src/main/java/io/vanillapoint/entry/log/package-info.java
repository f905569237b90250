/** Structured decision log and metrics of an entry VM. */
package io.vanillapoint.entry.log;
