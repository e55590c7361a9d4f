package dev.cactusspan.gateway;

import dev.cactusspan.batch.BatchManager;
import dev.cactusspan.fleet.DesiredState;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.overload.KnowledgeAge;
import dev.cactusspan.settings.GatewaySettings;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Keeps this process from acting on knowledge that it had no processor time to renew. Without
 * current knowledge of the desired state no request is decided, and without that of the ends of
 * batches no item is sent. All methods are called on one thread.
 */
final class KnowledgeGuard {
    private final FleetView mFleet;
    private final LongSupplier mNowMs;
    private final KnowledgeAge mDesiredState;
    private final KnowledgeAge mBatchEnds;
    private boolean mWasDesiredStateCurrent = true;
    private boolean mWereBatchEndsCurrent = true;

    KnowledgeGuard(
            FleetView fleet, GatewaySettings settings, Telemetry telemetry, LongSupplier nowMs) {
        mFleet = fleet;
        mNowMs = nowMs;
        mDesiredState = new KnowledgeAge(settings.desiredStateMs());
        mBatchEnds = new KnowledgeAge(settings.batchEndMs());
        telemetry.gauge("desired_state_age_ms", () -> mDesiredState.ageMs(nowMs.getAsLong()));
        telemetry.gauge("batch_ends_age_ms", () -> mBatchEnds.ageMs(nowMs.getAsLong()));
    }

    // Operations

    /** Records that all that had arrived from the store at a time has been applied. */
    void recordReadThrough(long atMs) {
        mDesiredState.recordReadThrough(atMs);
        mBatchEnds.recordReadThrough(atMs);
        mFleet.recordReadThrough(atMs);
    }

    /** Updates the ages, and holds items back while the ends of batches are not known. */
    void tick(BatchManager batches, int openBatches) {
        long nowMs = mNowMs.getAsLong();
        mDesiredState.recordMirror(
                mFleet.desiredStateMirror().knownMs(),
                mFleet.desiredStateMirror().isHealthy(),
                nowMs);
        // A process without open batches cannot miss the end of one.
        mBatchEnds.recordMirror(
                openBatches == 0 ? nowMs : mFleet.ownerMirror().knownMs(),
                mFleet.ownerMirror().isHealthy(),
                nowMs);
        batches.holdItems(!mBatchEnds.isCurrent(nowMs));
        mWasDesiredStateCurrent =
                log("desired_state", mDesiredState, mWasDesiredStateCurrent, nowMs);
        mWereBatchEndsCurrent = log("batch_ends", mBatchEnds, mWereBatchEndsCurrent, nowMs);
    }

    private static boolean log(String keys, KnowledgeAge age, boolean wasCurrent, long nowMs) {
        boolean isCurrent = age.isCurrent(nowMs);
        if (isCurrent != wasCurrent) {
            Decision.of(isCurrent ? "knowledge_current" : "knowledge_too_old")
                    .with("of", keys)
                    .with("age_ms", age.ageMs(nowMs))
                    .with("delay_ms", age.delayMs(nowMs))
                    .warn();
        }
        return isCurrent;
    }

    // Accessors

    /** Returns the desired state if requests may be decided on it now. */
    Optional<DesiredState> desiredState() {
        return isDesiredStateCurrent() ? mFleet.desiredState() : Optional.empty();
    }

    boolean isDesiredStateCurrent() {
        return mDesiredState.isCurrent(mNowMs.getAsLong());
    }

    boolean areBatchEndsCurrent() {
        return mBatchEnds.isCurrent(mNowMs.getAsLong());
    }
}
