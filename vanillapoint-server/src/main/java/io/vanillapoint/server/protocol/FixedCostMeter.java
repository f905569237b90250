package io.vanillapoint.server.protocol;

import io.vanillapoint.api.plugin.UsageMeter;

/** Charges the reserved tokens and treats every response as complete. Stateless. */
public final class FixedCostMeter implements UsageMeter {
    @Override
    public void head(int status, String contentType) {}

    @Override
    public void data(byte[] bytes) {}

    @Override
    public boolean isWhole() {
        return true;
    }

    @Override
    public long usedTokens(long reserved) {
        return reserved;
    }
}
