package io.vanillapoint.api.model;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 digest of a caller's key. Published configuration contains only digests, so that it never
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
     * Computes the digest of a key.
     *
     * @param key the key in clear, as sent by the caller
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
     * @return true if the constructor accepts it
     */
    public static boolean isWellFormed(String text) {
        return text != null && text.matches("[0-9a-f]{" + HEX_DIGITS + "}");
    }
}
