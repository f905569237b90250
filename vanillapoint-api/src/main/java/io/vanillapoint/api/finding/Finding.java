package io.vanillapoint.api.finding;

/**
 * One fault in a declaration, a published value or a setting. Immutable.
 *
 * @param place location of the fault
 * @param code kind of fault
 * @param message what was expected and what was found
 */
public record Finding(Place place, FindingCode code, String message) {
    @Override
    public String toString() {
        return place + ": " + code.text() + ": " + message;
    }
}
