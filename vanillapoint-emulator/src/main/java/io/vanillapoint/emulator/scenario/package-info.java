/** Scenario files: deployment, traffic and disruptions. */
package io.vanillapoint.emulator.scenario;
