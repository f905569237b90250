/** Prompts and what engines keep of them. */
package io.vanillapoint.core.prompt;
