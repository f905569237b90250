package io.vanillapoint.cli;

/** Exit codes of the tool. Stateless. */
final class ExitCode {
    /** The command succeeded. */
    static final int SUCCESS = 0;

    /** There are findings, or no log line matched. */
    static final int FINDINGS = 1;

    /** Flags or arguments are invalid. */
    static final int USAGE_ERROR = 2;

    /** Something could not be read, written or reached. */
    static final int FAILURE = 3;

    private ExitCode() {}
}
