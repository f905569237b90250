package io.vanillapoint.cli;

import java.io.PrintStream;

/**
 * Output streams of a command. Immutable.
 *
 * @param out stream for results
 * @param err stream for error messages and usage
 */
record Console(PrintStream out, PrintStream err) {}
