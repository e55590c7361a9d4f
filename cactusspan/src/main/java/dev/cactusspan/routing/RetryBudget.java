package dev.cactusspan.routing;

/**
 * Limits retries to a share of first attempts, so that they add little load to a failing service.
 */
public final class RetryBudget {
    private static final double MAX_TOKENS = 50;

    private final double mTokensPerFirstTry;
    private double mTokens;

    /**
     * Creates a budget that is initially full.
     *
     * @param percent number of retries allowed per hundred first attempts
     */
    public RetryBudget(int percent) {
        mTokensPerFirstTry = percent / 100.0;
        mTokens = percent == 0 ? 0 : MAX_TOKENS;
    }

    /** Records a first attempt, which adds to the budget. */
    public void onFirstTry() {
        mTokens = Math.min(MAX_TOKENS, mTokens + mTokensPerFirstTry);
    }

    /**
     * Consumes one retry from the budget.
     *
     * @return false if the budget is exhausted
     */
    public boolean tryRetry() {
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }
}
