package io.vanillapoint.api.plugin;

/**
 * Reads one response to count its tokens and to check that it is complete. Confined to one thread.
 */
public interface UsageMeter {
    /**
     * Processes the status and the media type.
     *
     * @param status HTTP status
     * @param contentType media type, may be empty
     */
    void onHead(int status, String contentType);

    /**
     * Processes a part of the body.
     *
     * @param bytes the part, split at any byte
     */
    void onData(byte[] bytes);

    /**
     * Tells whether the body is complete as far as its format shows.
     *
     * @return false if an end marker is missing
     */
    boolean isComplete();

    /**
     * Tokens used so far.
     *
     * @param reserved tokens reserved for the request
     * @return tokens, at most what was reserved
     */
    long usedTokens(long reserved);
}
