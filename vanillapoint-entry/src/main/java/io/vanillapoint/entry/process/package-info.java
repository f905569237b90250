/** Ends a process whose event loop has ended or hangs. */
package io.vanillapoint.entry.process;
