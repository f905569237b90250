package io.vanillapoint.api.model;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 digest of a caller's key. Published configuration holds only digests, so that it never
 * reveals a key.
 *
 * <p>Invariant: {@link #hex()} is 64 lower-case hexadecimal digits. Immutable and safe for use by
 * several threads.
 *
 * @param hex the digest in hexadecimal
 */
public record KeyDigest(String hex) {
    private static final int HEX_DIGITS = 64;

    /** Checks the invariant. */
    public KeyDigest {
        if (!isWellFormed(hex)) {
            throw new IllegalArgumentException(
                    "expected " + HEX_DIGITS + " lower-case hexadecimal digits");
        }
    }

    /**
     * Digests a key as a caller presents it.
     *
     * @param key the caller's key
     * @return its digest
     */
    public static KeyDigest of(String key) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            byte[] digest = sha256.digest(key.getBytes(StandardCharsets.UTF_8));
            return new KeyDigest(HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }

    /**
     * Tells whether a text is the hexadecimal form of a digest.
     *
     * @param text text to check, may be null
     * @return true if it can be given to the constructor
     */
    public static boolean isWellFormed(String text) {
        return text != null && text.matches("[0-9a-f]{" + HEX_DIGITS + "}");
    }
}
