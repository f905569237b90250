package io.vanillapoint.api.error;

import java.time.Duration;
import java.util.Optional;

/**
 * The one unchecked exception of the project. It carries a code, where the fault was found, what is
 * known about the run and, for a refusal, when to come back.
 *
 * <p>Invariant: the code is never null. Immutable apart from what {@link Throwable} keeps.
 */
public class VanillapointException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final String place;
    private final RunState runState;
    private final Duration retryAfter;

    /**
     * Creates an exception with the run state of its code.
     *
     * @param code the error
     * @param place where it was found: a path, a field or a setting
     * @param message what was expected and what was found
     */
    public VanillapointException(ErrorCode code, String place, String message) {
        this(code, place, message, code.defaultRunState(), null);
    }

    /**
     * Creates an exception.
     *
     * @param code the error
     * @param place where it was found
     * @param message what was expected and what was found
     * @param runState what is known about the run
     * @param retryAfter when to come back, or null if that would not help
     */
    public VanillapointException(
            ErrorCode code, String place, String message, RunState runState, Duration retryAfter) {
        super(message);
        this.code = code;
        this.place = place;
        this.runState = runState;
        this.retryAfter = retryAfter;
    }

    /**
     * Creates a refusal that tells when to come back.
     *
     * @param code the error
     * @param message what was expected and what was found
     * @param retryAfter when to come back
     * @return the exception
     */
    public static VanillapointException refusal(
            ErrorCode code, String message, Duration retryAfter) {
        return new VanillapointException(code, "request", message, RunState.NOT_RUN, retryAfter);
    }

    /**
     * The error.
     *
     * @return its code
     */
    public ErrorCode code() {
        return code;
    }

    /**
     * Where the fault was found.
     *
     * @return a path, a field or a setting
     */
    public String place() {
        return place;
    }

    /**
     * What is known about the run.
     *
     * @return the state
     */
    public RunState runState() {
        return runState;
    }

    /**
     * When to come back.
     *
     * @return the time to wait, or nothing if waiting would not help
     */
    public Optional<Duration> retryAfter() {
        return Optional.ofNullable(retryAfter);
    }

    /**
     * The same error with another run state.
     *
     * @param state what is known about the run
     * @return this if nothing changes
     */
    public VanillapointException withRunState(RunState state) {
        if (state == runState) {
            return this;
        }
        return new VanillapointException(code, place, getMessage(), state, retryAfter);
    }
}
