/** Prompts and their parts in engine caches. */
package io.vanillapoint.core.prompt;
