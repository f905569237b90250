package io.vanillapoint.server.protocol;

import io.vanillapoint.api.plugin.UsageMeter;

/** Meter of answers whose cost is what was reserved and whose form shows no end. Stateless. */
public final class FixedMeter implements UsageMeter {
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
