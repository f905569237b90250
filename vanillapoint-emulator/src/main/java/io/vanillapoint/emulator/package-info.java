/** Engines, links and callers in virtual time around the real decisions. */
package io.vanillapoint.emulator;
