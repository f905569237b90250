package io.vanillapoint.core.idempotency;

import io.vanillapoint.api.model.VmId;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Optional;

/**
 * An idempotency key that the system has issued. It contains the names of its home VMs, so that
 * every VM asks the same ones regardless of which list of VMs it has read. Immutable.
 *
 * @param homes VMs that store the key, not empty
 * @param nonce text that makes the key unique
 */
public record IssuedKey(List<VmId> homes, String nonce) {
    private static final String PREFIX = "vp1.";
    private static final int MAX_LENGTH = 512;

    /** Copies the VMs. */
    public IssuedKey {
        homes = List.copyOf(homes);
    }

    /**
     * Parses a key.
     *
     * @param text value of the header
     * @return the key, or empty if the text is not a key that the system issued
     */
    public static Optional<IssuedKey> parse(String text) {
        String[] parts = text.split("\\.", -1);
        if (!text.startsWith(PREFIX) || text.length() > MAX_LENGTH || parts.length != 3) {
            return Optional.empty();
        }
        try {
            byte[] homeNames = Base64.getUrlDecoder().decode(parts[1]);
            List<VmId> homes =
                    Arrays.stream(new String(homeNames, StandardCharsets.UTF_8).split(","))
                            .map(VmId::new)
                            .toList();
            return Optional.of(new IssuedKey(homes, parts[2]));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Encodes the key for callers.
     *
     * @return value of the header
     */
    public String text() {
        String homeNames = String.join(",", homes.stream().map(VmId::value).toList());
        byte[] bytes = homeNames.getBytes(StandardCharsets.UTF_8);
        return PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes) + "." + nonce;
    }
}
