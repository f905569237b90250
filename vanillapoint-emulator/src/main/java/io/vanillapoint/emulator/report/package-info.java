/** Results of simulation runs. */
package io.vanillapoint.emulator.report;
