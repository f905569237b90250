/** Decisions of an entry VM as structured log lines, and its metrics. */
package io.vanillapoint.entry.log;
