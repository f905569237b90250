/** What came of a run. */
package io.vanillapoint.emulator.report;
