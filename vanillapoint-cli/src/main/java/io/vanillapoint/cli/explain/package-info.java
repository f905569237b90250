/** Finds out from logs what happened to a request, and why. */
package io.vanillapoint.cli.explain;
