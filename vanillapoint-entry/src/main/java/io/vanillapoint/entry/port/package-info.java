/** Interfaces that a platform implements for entry VMs, and their data types. */
package io.vanillapoint.entry.port;
