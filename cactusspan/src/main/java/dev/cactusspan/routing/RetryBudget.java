package dev.cactusspan.routing;

/** Bounds retries to a share of first tries, so that a failing service is not loaded further. */
public final class RetryBudget {
    private static final double MAX_TOKENS = 50;

    private final double mTokensPerTry;
    private double mTokens;

    /**
     * Creates a budget that starts full.
     *
     * @param percent retries allowed for each hundred first tries
     */
    public RetryBudget(int percent) {
        mTokensPerTry = percent / 100.0;
        mTokens = percent == 0 ? 0 : MAX_TOKENS;
    }

    /** Counts a first try. */
    public void onFirstTry() {
        mTokens = Math.min(MAX_TOKENS, mTokens + mTokensPerTry);
    }

    /**
     * Takes a retry from the budget.
     *
     * @return false if none is left
     */
    public boolean tryRetry() {
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }
}
