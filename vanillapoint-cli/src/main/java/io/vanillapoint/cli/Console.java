package io.vanillapoint.cli;

import java.io.PrintStream;

/**
 * Where a command writes. Immutable.
 *
 * @param out results
 * @param err messages for people
 */
record Console(PrintStream out, PrintStream err) {}
