package io.vanillapoint.server.traffic;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;

/** Converts any failure to a {@link VanillapointException}. Stateless. */
final class VanillapointErrors {
    private VanillapointErrors() {}

    static VanillapointException of(Throwable error) {
        if (error instanceof VanillapointException known) {
            return known;
        }
        return new VanillapointException(ErrorCode.INTERNAL, "request", String.valueOf(error));
    }
}
