package io.vanillapoint.core.prompt;

/**
 * Limit on the memory of all {@link PrefixCacheModel}s of a process.
 *
 * <p>Handles prompts of very many parts, which an engine's capacity in tokens does not bound.
 * Invariant: beyond the limit no model grows above its equal part, so that the memory stays below
 * the limit and a small minimum for each model. Confined to one thread.
 */
public final class PrefixCacheBudget {
    /** A twentieth of the smallest heap; about 50,000 parts. */
    public static final long LIMIT_BYTES = 8L << 20;

    /** Memory that a model may always use, about 100 parts. */
    private static final long MIN_MODEL_BYTES = 16L << 10;

    private final long limitBytes;
    private long heldBytes;
    private long droppedParts;
    private int models;

    /**
     * Creates an unused budget.
     *
     * @param limitBytes the limit in bytes
     */
    public PrefixCacheBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Memory of all models.
     *
     * @return estimate in bytes
     */
    public long heldBytes() {
        return heldBytes;
    }

    /**
     * Number of parts that models have dropped because of the limit.
     *
     * @return number since the start
     */
    public long droppedParts() {
        return droppedParts;
    }

    /** Largest size of one model at present. */
    long modelLimitBytes() {
        return heldBytes <= limitBytes
                ? limitBytes
                : Math.max(MIN_MODEL_BYTES, limitBytes / Math.max(1, models));
    }

    /** Changes the size of one model. */
    void resized(long bytesBefore, long bytes) {
        heldBytes += bytes - bytesBefore;
        models += Long.signum(bytes) - Long.signum(bytesBefore);
    }

    void partDropped() {
        droppedParts++;
    }
}
