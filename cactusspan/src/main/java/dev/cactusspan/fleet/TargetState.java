package dev.cactusspan.fleet;

import dev.cactusspan.capacity.ConcurrencyLimit;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.observe.Decision;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/** A target's registration entry and the load and errors that this process has observed. */
public final class TargetState {
    /** Time that a target is avoided after a failure; doubles with each consecutive failure. */
    private static final long BASE_AVOIDANCE_MS = 250;

    private static final int MAX_DOUBLINGS = 4;

    /**
     * Time that a target is avoided after it refused work, in milliseconds; doubles with each
     * further refusal. A place becomes free within some ten milliseconds, and a target that loads
     * weights refuses all work for about a second.
     */
    private static final long BASE_REFUSAL_MS = 40;

    private static final int MAX_REFUSAL_DOUBLINGS = 2;

    /** Time after which an earlier refusal says nothing of the next, in milliseconds. */
    private static final long REFUSAL_MEMORY_MS = 1_000;

    /** Time after a failure without a success since in which a target is failing. */
    private static final long FAILING_MS = 5_000;

    /** Weight of the newest observation in the mean duration. */
    private static final double DURATION_WEIGHT = 0.2;

    /** Weight of the newest outcome in the error rate: about the last ten responses count. */
    private static final double ERROR_WEIGHT = 0.2;

    /** Minimum time between log lines on the learned limit of a target, in milliseconds. */
    private static final long LIMIT_LOG_MS = 1_000;

    /** Half-life of the error rate of a target that receives no work, in milliseconds. */
    private static final double ERROR_HALF_LIFE_MS = 3_000;

    private final RequestAllowance mAllowance;
    private final Consumer<ServiceId> mOnPlace;
    private final ColdPeriod mCold = new ColdPeriod();
    private double mColdIssuedPerS;
    private final ConcurrencyLimit mLimit;
    private TargetRecord mRecord;
    private double mErrorRate;
    private long mErrorRateAsOfMs;
    private int mInFlight;
    private int mLoggedPlaces;
    private long mLimitLoggedMs;
    private boolean mHasSaidLeaving;
    private int mConsecutiveFailures;
    private long mLastFailureMs;
    private long mAvoidUntilMs;
    private int mRefusals;
    private long mRefusedMs;
    private double mMeanDurationMs;
    private long mMissingSinceMs = -1;

    TargetState(TargetRecord record, ConcurrencyLimit limit, Consumer<ServiceId> onPlace) {
        mLimit = limit;
        mRecord = record;
        mOnPlace = onPlace;
        mLoggedPlaces = record.slots();
        mAllowance = new RequestAllowance(record.id());
        mCold.recordListed(record.coldRemainingMs());
    }

    void update(TargetRecord record) {
        mRecord = record;
        mMissingSinceMs = -1;
        mCold.recordListed(record.coldRemainingMs());
        notifyPlace();
    }

    private void notifyPlace() {
        mOnPlace.accept(mRecord.service());
    }

    void markMissing(long nowMs) {
        mMissingSinceMs = nowMs;
    }

    /**
     * Records that a request was sent.
     *
     * @param nowMs monotonic clock in milliseconds
     */
    public void recordSent(long nowMs) {
        mInFlight++;
        mAllowance.recordSent(nowMs);
    }

    /**
     * Returns whether a request may be sent without exceeding the limit that the target names.
     *
     * @param nowMs monotonic clock in milliseconds
     * @return false if the target limits its requests or is cold, and this process has no permit
     */
    boolean admitsRequest(long nowMs) {
        updateColdLimit(nowMs);
        return mAllowance.admits(nowMs);
    }

    /** Sets the rate of permits while the target is cold, zero if it has no bound. */
    void setColdRate(double issuedPerS) {
        mColdIssuedPerS = issuedPerS;
    }

    /** Records that the target may be cold, as it may have started again. */
    void suspectCold(long forMs, long nowMs) {
        mCold.suspect(forMs, nowMs);
    }

    private void updateColdLimit(long nowMs) {
        mAllowance.setColdLimit(mCold.limitPerS(mColdIssuedPerS, nowMs), nowMs);
    }

    /** Notes that a request could be sent to this target if there were a permit. */
    void wantPermit() {
        mAllowance.wantPermit();
    }

    void tick(long nowMs) {
        updateColdLimit(nowMs);
        mAllowance.tick(nowMs);
    }

    /**
     * Returns the request for permits that is due now.
     *
     * @param nowMs monotonic clock in milliseconds
     * @return the request, empty if no permits are wanted
     */
    public Optional<PermitRequest> nextPermitRequest(long nowMs) {
        return mAllowance.nextRequest(nowMs);
    }

    /**
     * Handles the response to a request for permits.
     *
     * @param grant the permits
     * @param nowMs monotonic clock in milliseconds
     */
    public void onPermits(PermitGrant grant, long nowMs) {
        mAllowance.onPermits(grant, nowMs);
        notifyPlace();
    }

    /** Returns the expected time until the next permit, empty if the target has no limit. */
    OptionalLong permitWaitMs(long nowMs) {
        return mAllowance.permitWaitMs(nowMs);
    }

    /** Records the request limit in the head of a response, or that it has none. */
    void recordHead(ResponseHead head, long sentMs, long nowMs) {
        mAllowance.recordResponse(head.requestLimitPerS(), head.status(), sentMs, nowMs);
        head.coldMs().ifPresent(ms -> mCold.recordObserved(ms, nowMs));
    }

    /** Records that the target said that it leaves, which holds until it starts again. */
    void recordLeaving() {
        mHasSaidLeaving = true;
    }

    /** Records that a request has ended, whatever its outcome. */
    public void recordEnded() {
        mInFlight--;
        notifyPlace();
    }

    /**
     * Records a successful response.
     *
     * @param nowMs monotonic clock in milliseconds
     */
    public void recordSuccess(long nowMs) {
        mConsecutiveFailures = 0;
        mRefusals = 0;
        mAvoidUntilMs = 0;
        updateErrorRate(0, nowMs);
        notifyPlace();
    }

    /**
     * Records an unusable response from a target that is still reachable.
     *
     * @param nowMs monotonic clock in milliseconds
     */
    public void recordError(long nowMs) {
        updateErrorRate(1, nowMs);
    }

    /**
     * Records that no response arrived in time or that another target responded first.
     *
     * @param waitedMs time waited for the response, in milliseconds
     * @param nowMs monotonic clock in milliseconds
     */
    public void recordLate(long waitedMs, long nowMs) {
        if (waitedMs > mMeanDurationMs) {
            recordDuration(waitedMs);
        }
        updateErrorRate(1, nowMs);
    }

    private void updateErrorRate(double error, long nowMs) {
        double decayed = errorRate(nowMs);
        mErrorRate = decayed + ERROR_WEIGHT * (error - decayed);
        mErrorRateAsOfMs = nowMs;
    }

    /**
     * Records that the target failed.
     *
     * @param nowMs monotonic clock in milliseconds
     */
    public void recordFailure(long nowMs) {
        mAvoidUntilMs =
                nowMs + (BASE_AVOIDANCE_MS << Math.min(MAX_DOUBLINGS, mConsecutiveFailures));
        mConsecutiveFailures++;
        mLastFailureMs = nowMs;
        updateErrorRate(1, nowMs);
    }

    /**
     * Records that the target refused work, which it has not run.
     *
     * @param nowMs monotonic clock in milliseconds
     */
    public void recordRefusal(long nowMs) {
        if (isAvoided(nowMs)) {
            // The request was sent before the target was avoided, so that it says nothing new.
            return;
        }
        mRefusals = nowMs - mRefusedMs > REFUSAL_MEMORY_MS ? 0 : mRefusals;
        avoidUntil(nowMs + (BASE_REFUSAL_MS << Math.min(MAX_REFUSAL_DOUBLINGS, mRefusals)));
        mRefusals++;
        mRefusedMs = nowMs;
    }

    /**
     * Avoids the target because it has no free slot or is swapping weights.
     *
     * @param untilMs monotonic time until which the target is avoided, in milliseconds
     */
    public void avoidUntil(long untilMs) {
        mAvoidUntilMs = Math.max(mAvoidUntilMs, untilMs);
    }

    /**
     * Records the interval between two events of a request that is in flight.
     *
     * @param kind kind of the request
     * @param intervalMs the interval in milliseconds
     * @param nowMs monotonic clock in milliseconds
     */
    public void recordInterval(RouteId kind, long intervalMs, long nowMs) {
        recordWork(kind, intervalMs, mInFlight, nowMs);
    }

    /**
     * Records the duration of a request that has just ended.
     *
     * @param kind kind of the request
     * @param durationMs the duration in milliseconds
     * @param nowMs monotonic clock in milliseconds
     */
    public void recordRequest(RouteId kind, long durationMs, long nowMs) {
        recordWork(kind, durationMs, mInFlight + 1, nowMs);
    }

    private void recordWork(RouteId kind, long durationMs, int inFlight, long nowMs) {
        recordDuration(durationMs);
        int before = places();
        mLimit.record(kind.value(), (double) durationMs, inFlight, nowMs);
        int places = places();
        if (places > before) {
            notifyPlace();
        }
        boolean isChanged = (places < mRecord.slots()) != (mLoggedPlaces < mRecord.slots());
        if (isChanged && nowMs - mLimitLoggedMs >= LIMIT_LOG_MS) {
            mLimitLoggedMs = nowMs;
            mLoggedPlaces = places;
            logLimit(kind, durationMs, inFlight);
        }
    }

    private void logLimit(RouteId kind, long durationMs, int inFlight) {
        boolean hasFallen = mLoggedPlaces < mRecord.slots();
        Decision.of(hasFallen ? "learned_limit_fell" : "learned_limit_recovered")
                .with("target", mRecord.id().value())
                .with("service", mRecord.service().value())
                .with("kind", kind.value())
                .with("places", mLoggedPlaces)
                .with("slots", mRecord.slots())
                .with("in_flight", inFlight)
                .with("duration_ms", durationMs)
                .with("usual_ms", (long) mLimit.usualMs(kind.value()))
                .info();
    }

    /**
     * Records the duration of a unit of work: a request, or the interval between two events.
     *
     * @param durationMs duration in milliseconds
     */
    public void recordDuration(long durationMs) {
        mMeanDurationMs =
                mMeanDurationMs == 0
                        ? durationMs
                        : mMeanDurationMs + DURATION_WEIGHT * (durationMs - mMeanDurationMs);
    }

    /**
     * Records that a run was taken away because this target is slow. Its mean must not lag behind,
     * or the slots that the run leaves free would attract the next one.
     *
     * @param durationMs duration of the latest unit of work in milliseconds
     */
    public void recordSlow(long durationMs) {
        mMeanDurationMs = Math.max(mMeanDurationMs, (double) durationMs);
    }

    /**
     * Returns the mean duration of a unit of work.
     *
     * @return milliseconds, zero if unknown
     */
    public double meanDurationMs() {
        return mMeanDurationMs;
    }

    /**
     * Returns the share of recent attempts that failed, returned an error or were late.
     *
     * @param nowMs monotonic clock in milliseconds
     * @return share from 0 to 1
     */
    public double errorRate(long nowMs) {
        return mErrorRate * Math.pow(0.5, (nowMs - mErrorRateAsOfMs) / ERROR_HALF_LIFE_MS);
    }

    /**
     * Returns the registration entry of the target.
     *
     * @return the entry
     */
    public TargetRecord record() {
        return mRecord;
    }

    /**
     * Returns whether the target accepts no new work.
     *
     * @return true if its entry or any of its responses says so
     */
    public boolean isLeaving() {
        return mHasSaidLeaving || mRecord.isLeaving();
    }

    /**
     * Returns the number of requests from this process that are in flight at the target.
     *
     * @return number of requests in flight
     */
    public int inFlight() {
        return mInFlight;
    }

    /**
     * Returns how much work of this process the target takes well at the same time, as learned.
     *
     * @return 1 to the number of its slots
     */
    public int places() {
        return mLimit.places(mRecord.slots());
    }

    /**
     * Returns whether the target has a place for further work of this process.
     *
     * @return false if as much is in flight as it takes well
     */
    public boolean hasPlace() {
        return mInFlight < places();
    }

    /**
     * Returns whether the target should be avoided for now.
     *
     * @param nowMs monotonic clock in milliseconds
     * @return true if the target failed, refused a request or had unsuitable weights a short time
     *     ago
     */
    public boolean isAvoided(long nowMs) {
        return nowMs < mAvoidUntilMs;
    }

    /** Returns until when the target is avoided, milliseconds of the monotonic clock. */
    long avoidedUntilMs() {
        return mAvoidUntilMs;
    }

    /**
     * Returns whether the target failed a short time ago and has responded to nothing since.
     *
     * @param nowMs monotonic clock in milliseconds
     * @return true if a further failure is probably the target's own
     */
    public boolean isFailing(long nowMs) {
        return mConsecutiveFailures > 0 && nowMs - mLastFailureMs < FAILING_MS;
    }

    boolean isMissingFor(long nowMs, long timeoutMs) {
        return mMissingSinceMs >= 0 && nowMs - mMissingSinceMs >= timeoutMs;
    }

    boolean isMissing() {
        return mMissingSinceMs >= 0;
    }
}
