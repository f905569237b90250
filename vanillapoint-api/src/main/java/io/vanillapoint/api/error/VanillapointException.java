package io.vanillapoint.api.error;

import java.time.Duration;
import java.util.Optional;

/**
 * Base of the project's unchecked exceptions. It carries an error code, the location of the fault,
 * the run state of the request and, for a refusal, the delay before a retry.
 *
 * <p>Invariant: the code is never null. Immutable apart from the state of {@link Throwable}.
 */
public class VanillapointException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final String place;
    private final RunState runState;
    private final Duration retryAfter;

    /**
     * Creates an exception with the default run state of its code.
     *
     * @param code error code
     * @param place location of the fault: a path, a field or a setting
     * @param message what was expected and what was found
     */
    public VanillapointException(ErrorCode code, String place, String message) {
        this(code, place, message, code.defaultRunState(), null);
    }

    /**
     * Creates an exception.
     *
     * @param code error code
     * @param place location of the fault
     * @param message what was expected and what was found
     * @param runState whether the request was run
     * @param retryAfter delay before a retry, or null if a retry would not help
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
     * Creates a refusal of a request that has not run.
     *
     * @param code error code
     * @param message what was expected and what was found
     * @param retryAfter delay before a retry
     * @return the exception
     */
    public static VanillapointException refusal(
            ErrorCode code, String message, Duration retryAfter) {
        return new VanillapointException(code, "request", message, RunState.NOT_RUN, retryAfter);
    }

    /**
     * The error code.
     *
     * @return the code
     */
    public ErrorCode code() {
        return code;
    }

    /**
     * The location of the fault.
     *
     * @return a path, a field or a setting
     */
    public String place() {
        return place;
    }

    /**
     * Whether the request was run.
     *
     * @return the state
     */
    public RunState runState() {
        return runState;
    }

    /**
     * The delay before a retry.
     *
     * @return the delay, or empty if a retry would not help
     */
    public Optional<Duration> retryAfter() {
        return Optional.ofNullable(retryAfter);
    }

    /**
     * Returns the same error with another run state.
     *
     * @param state whether the request was run
     * @return a new exception, or this one if the state is the same
     */
    public VanillapointException withRunState(RunState state) {
        if (state == runState) {
            return this;
        }
        return new VanillapointException(code, place, getMessage(), state, retryAfter);
    }
}
