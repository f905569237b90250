/** Model of a batching engine. */
package io.vanillapoint.emulator.engine;
