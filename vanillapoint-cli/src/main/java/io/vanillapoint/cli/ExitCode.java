package io.vanillapoint.cli;

/** Exit codes of the tool. Stateless. */
final class ExitCode {
    /** All went well. */
    static final int DONE = 0;

    /** There are findings. */
    static final int FINDINGS = 1;

    /** Flags or arguments are wrong. */
    static final int WRONG_USAGE = 2;

    /** Something could not be read, written or reached. */
    static final int FAILED = 3;

    private ExitCode() {}
}
