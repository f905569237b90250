package io.vanillapoint.api.finding;

/**
 * Location of a finding. Immutable.
 *
 * @param source file, published key, flag or variable
 * @param line line from 1, or 0 if the source has no lines
 * @param column column from 1, or 0 if the source has no lines
 * @param path path of the field within the source, may be empty
 */
public record Place(String source, int line, int column, String path) {
    /**
     * Location in a source without lines.
     *
     * @param source file, published key, flag or variable
     * @return the location
     */
    public static Place of(String source) {
        return new Place(source, 0, 0, "");
    }

    @Override
    public String toString() {
        String position = line == 0 ? "" : ":" + line + ":" + column;
        String field = path.isEmpty() || line != 0 ? "" : ":" + path;
        return source + position + field;
    }
}
