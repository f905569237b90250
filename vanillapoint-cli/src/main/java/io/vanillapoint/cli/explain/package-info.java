/** Determines from decision logs what happened to a request, and the likely cause. */
package io.vanillapoint.cli.explain;
