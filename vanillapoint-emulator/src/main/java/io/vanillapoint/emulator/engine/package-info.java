/** Model of an engine with continuous batching. */
package io.vanillapoint.emulator.engine;
