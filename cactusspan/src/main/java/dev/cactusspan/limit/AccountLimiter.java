package dev.cactusspan.limit;

import dev.cactusspan.config.EnvironmentDocument.Account;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Enforces the limits of client accounts at one entry: a token bucket for the request rate and a
 * maximum number of requests in flight. An entry holds a share of each account's limit.
 */
public final class AccountLimiter {
    private static final double MS_PER_S = 1_000.0;

    private final Map<AccountId, Bucket> mBuckets = new HashMap<>();

    /**
     * Admits or refuses a request.
     *
     * @param account the client account
     * @param share part of the account's limit that this entry holds, 0 to 1
     * @param nowMs current time in milliseconds
     * @return {@code over_limit} if the request is refused
     */
    public Optional<Failure> admit(Account account, double share, long nowMs) {
        Bucket bucket = mBuckets.computeIfAbsent(account.name(), a -> new Bucket(nowMs));
        double burstTokens = Math.max(1, account.burstRequests() * share);
        bucket.refill(account.requestsPerS() * share, burstTokens, nowMs);
        double maxInFlight = Math.max(1, account.maxInFlight() * share);
        if (bucket.mInFlight >= maxInFlight) {
            return refuse(account, "too many requests in progress");
        }
        if (bucket.mTokens < 1) {
            return refuse(account, "too many requests a second");
        }
        bucket.mTokens -= 1;
        bucket.mInFlight++;
        return Optional.empty();
    }

    private static Optional<Failure> refuse(Account account, String reason) {
        return Optional.of(Failure.of(ErrorKind.OVER_LIMIT, account.name() + ": " + reason));
    }

    /**
     * Records the end of an admitted request.
     *
     * @param account the client account
     */
    public void release(AccountId account) {
        Bucket bucket = mBuckets.get(account);
        if (bucket != null && bucket.mInFlight > 0) {
            bucket.mInFlight--;
        }
    }

    private static final class Bucket {
        private double mTokens = Double.POSITIVE_INFINITY;
        private long mRefilledMs;
        private int mInFlight;

        Bucket(long nowMs) {
            mRefilledMs = nowMs;
        }

        void refill(double tokensPerS, double burstTokens, long nowMs) {
            double gained = tokensPerS * (nowMs - mRefilledMs) / MS_PER_S;
            mTokens = Math.min(burstTokens, mTokens + gained);
            mRefilledMs = nowMs;
        }
    }
}
