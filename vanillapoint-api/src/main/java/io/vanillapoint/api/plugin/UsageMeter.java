package io.vanillapoint.api.plugin;

/** Follows one answer to learn what it used and whether it is whole. Confined to one thread. */
public interface UsageMeter {
    /**
     * Takes status and media type.
     *
     * @param status HTTP status
     * @param contentType media type, may be empty
     */
    void head(int status, String contentType);

    /**
     * Takes a part of the body.
     *
     * @param bytes the part, cut anywhere
     */
    void data(byte[] bytes);

    /**
     * Tells whether the body is whole as far as its form shows.
     *
     * @return false if an end marker is missing
     */
    boolean isWhole();

    /**
     * Tokens used so far.
     *
     * @param reserved tokens reserved for the request
     * @return tokens, at most what was reserved
     */
    long usedTokens(long reserved);
}
