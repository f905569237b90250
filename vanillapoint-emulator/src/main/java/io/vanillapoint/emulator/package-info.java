/** Simulates engines, links and callers in virtual time around the production placement code. */
package io.vanillapoint.emulator;
