package dev.cactusspan.fleet;

/** What this process knows of a target besides its entry. */
public final class TargetState {
    /** A failure keeps a target out of the choice this long, doubled for each one in a row. */
    private static final long AVOID_MS = 250;

    private static final int MAX_DOUBLINGS = 4;

    /** Weight of the newest observation in the mean pace. */
    private static final double PACE_WEIGHT = 0.2;

    /** Weight of the newest outcome in the share of trouble: about the last ten answers count. */
    private static final double TROUBLE_WEIGHT = 0.2;

    /** Trouble of a target that gets no work is forgotten by half in this time, in milliseconds. */
    private static final double TROUBLE_HALF_LIFE_MS = 3_000;

    private TargetRecord mRecord;
    private double mTrouble;
    private long mTroubleAsOfMs;
    private int mInFlight;
    private int mFailures;
    private long mAvoidUntilMs;
    private double mPaceMs;
    private long mMissingSinceMs = -1;

    TargetState(TargetRecord record) {
        mRecord = record;
    }

    void update(TargetRecord record) {
        mRecord = record;
        mMissingSinceMs = -1;
    }

    void markMissing(long nowMs) {
        mMissingSinceMs = nowMs;
    }

    /** Notes that a request was sent. */
    public void recordSent() {
        mInFlight++;
    }

    /** Notes that a request has ended in any way. */
    public void recordEnded() {
        mInFlight--;
    }

    /**
     * Notes that the target answered well.
     *
     * @param nowMs steady clock in milliseconds
     */
    public void recordSuccess(long nowMs) {
        mFailures = 0;
        mAvoidUntilMs = 0;
        outcome(0, nowMs);
    }

    /**
     * Notes an answer that served nobody; the target is still in touch.
     *
     * @param nowMs steady clock in milliseconds
     */
    public void recordError(long nowMs) {
        outcome(1, nowMs);
    }

    /**
     * Notes that no answer came in time, or another target's came first.
     *
     * @param waitedMs how long was waited in milliseconds
     * @param nowMs steady clock in milliseconds
     */
    public void recordLate(long waitedMs, long nowMs) {
        if (waitedMs > mPaceMs) {
            recordDuration(waitedMs);
        }
        outcome(1, nowMs);
    }

    private void outcome(double trouble, long nowMs) {
        double faded = errorRate(nowMs);
        mTrouble = faded + TROUBLE_WEIGHT * (trouble - faded);
        mTroubleAsOfMs = nowMs;
    }

    /**
     * Notes that the target failed.
     *
     * @param nowMs steady clock in milliseconds
     */
    public void recordFailure(long nowMs) {
        mAvoidUntilMs = nowMs + (AVOID_MS << Math.min(MAX_DOUBLINGS, mFailures));
        mFailures++;
        outcome(1, nowMs);
    }

    /**
     * Notes that the target has no room or changes its weights.
     *
     * @param untilMs steady clock in milliseconds until which it is left out
     */
    public void avoidUntil(long untilMs) {
        mAvoidUntilMs = Math.max(mAvoidUntilMs, untilMs);
    }

    /**
     * Notes how long a unit of work took: a request, or the gap between two events.
     *
     * @param tookMs the time in milliseconds
     */
    public void recordDuration(long tookMs) {
        mPaceMs = mPaceMs == 0 ? tookMs : mPaceMs + PACE_WEIGHT * (tookMs - mPaceMs);
    }

    /**
     * Returns the mean time of a unit of work.
     *
     * @return milliseconds, zero if not known
     */
    public double meanDurationMs() {
        return mPaceMs;
    }

    /**
     * Returns the share of answers of late that served nobody.
     *
     * @param nowMs steady clock in milliseconds
     * @return share from 0 to 1
     */
    public double errorRate(long nowMs) {
        return mTrouble * Math.pow(0.5, (nowMs - mTroubleAsOfMs) / TROUBLE_HALF_LIFE_MS);
    }

    /**
     * Returns the entry.
     *
     * @return what the target says of itself
     */
    public TargetRecord record() {
        return mRecord;
    }

    /**
     * Returns how many requests of this process are at the target.
     *
     * @return requests in flight
     */
    public int inFlight() {
        return mInFlight;
    }

    /**
     * Tells whether the target failed a short time ago.
     *
     * @param nowMs steady clock in milliseconds
     * @return true if it is to be left out
     */
    public boolean isAvoided(long nowMs) {
        return nowMs < mAvoidUntilMs;
    }

    boolean isMissingFor(long nowMs, long boundMs) {
        return mMissingSinceMs >= 0 && nowMs - mMissingSinceMs >= boundMs;
    }

    boolean isMissing() {
        return mMissingSinceMs >= 0;
    }
}
