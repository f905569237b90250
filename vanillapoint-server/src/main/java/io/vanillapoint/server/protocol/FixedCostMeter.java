package io.vanillapoint.server.protocol;

import io.vanillapoint.api.plugin.UsageMeter;

/** Charges the reserved tokens and treats every response as complete. Stateless. */
public final class FixedCostMeter implements UsageMeter {
    @Override
    public void onHead(int status, String contentType) {}

    @Override
    public void onData(byte[] bytes) {}

    @Override
    public boolean isComplete() {
        return true;
    }

    @Override
    public long usedTokens(long reserved) {
        return reserved;
    }
}
