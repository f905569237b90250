/** What is emulated: deployment, traffic and troubles, read from a file. */
package io.vanillapoint.emulator.scenario;
