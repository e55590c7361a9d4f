package dev.cactusspan.batch;

import dev.cactusspan.chart.StateChart;
import dev.cactusspan.chart.StateMachine;
import dev.cactusspan.fleet.TargetState;
import dev.cactusspan.fleet.TextEvent;
import dev.cactusspan.id.WeightVersion;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * An item on its way to a result. Its text is the events so far, which a later run goes on from;
 * the versions that produced them are kept with them.
 */
final class ItemRun {
    private static final StateChart<ItemState, ItemEvent> CHART =
            StateChart.load("/dev/cactusspan/chart/item.json", ItemState.class, ItemEvent.class);

    private final BatchItem mItem;
    private final StateMachine<ItemState, ItemEvent> mPosition = StateMachine.of(CHART);
    private final List<String> mTexts = new ArrayList<>();
    private final Set<WeightVersion> mVersions = new LinkedHashSet<>();
    private OptionalLong mLastEvent = OptionalLong.empty();
    private WeightVersion mVersion = WeightVersion.NONE;
    private int mFailures;
    private int mScoreFailures;
    private int mSendCount;
    private int mMoveCount;
    private long mEventIntervalMs;
    private long mNextAttemptMs;
    private long mLastProgressMs;
    private Optional<TargetState> mTarget = Optional.empty();
    private Runnable mCancelAction = () -> {};

    /** Counts runs, so that what a former run still says is told apart. */
    private int mAttemptNumber;

    ItemRun(BatchItem item) {
        mItem = item;
    }

    // Operations

    /** Goes on from what a former owner kept. */
    void restore(ItemProgress progress) {
        mTexts.addAll(progress.texts());
        mVersions.addAll(progress.versions());
        mVersion = progress.version();
        mLastEvent = OptionalLong.of(progress.lastEvent());
    }

    boolean apply(ItemEvent event) {
        return mPosition.apply(event);
    }

    /** Begins a run or a scoring call at a target; returns its number. */
    int startAttempt(TargetState target, long nowMs) {
        mTarget = Optional.of(target);
        target.recordSent();
        mSendCount++;
        mLastProgressMs = nowMs;
        mEventIntervalMs = 0;
        return ++mAttemptNumber;
    }

    void setCancelAction(Runnable cancelAction) {
        mCancelAction = cancelAction;
    }

    /** Ends the present run or scoring call; what it still says is ignored. */
    void endAttempt() {
        mTarget.ifPresent(TargetState::recordEnded);
        mTarget = Optional.empty();
        mAttemptNumber++;
        mCancelAction = () -> {};
    }

    /** Breaks the present run or scoring call off. */
    void cancelAttempt() {
        Runnable cancelAction = mCancelAction;
        endAttempt();
        cancelAction.run();
    }

    void setVersion(WeightVersion version) {
        mVersion = version;
    }

    /** Takes an event; returns false if it does not follow the last one. */
    boolean append(TextEvent event, long nowMs) {
        if (mLastEvent.isPresent() && event.id() != mLastEvent.getAsLong() + 1) {
            return false;
        }
        if (!event.version().equals(WeightVersion.NONE)) {
            mVersion = event.version();
        }
        mLastEvent = OptionalLong.of(event.id());
        mTexts.add(event.data());
        mVersions.add(mVersion);
        mLastProgressMs = nowMs;
        return true;
    }

    /** Drops the text so far, so that the next run begins anew. */
    void discardText() {
        mTexts.clear();
        mVersions.clear();
        mLastEvent = OptionalLong.empty();
    }

    int recordFailure() {
        return ++mFailures;
    }

    int recordScoreFailure() {
        return ++mScoreFailures;
    }

    /** Notes a move away from a slow target. */
    void recordMove() {
        mMoveCount++;
    }

    void retryAt(long atMs) {
        mNextAttemptMs = atMs;
    }

    // Accessors

    ItemResult result(String score) {
        return new ItemResult(
                mItem.id(),
                true,
                String.join("\n", mTexts),
                mVersions.stream().sorted().toList(),
                score);
    }

    /** Returns how far a text that still grows has come, empty if another run begins it anew. */
    Optional<ItemProgress> progress() {
        boolean isUnfinished = state() == ItemState.RUNNING || state() == ItemState.WAITING;
        if (!isUnfinished || mLastEvent.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new ItemProgress(
                        mItem.id(),
                        List.copyOf(mTexts),
                        mLastEvent.getAsLong(),
                        mVersions.stream().sorted().toList(),
                        mVersion));
    }

    boolean meetsMinVersion(WeightVersion minVersion) {
        return mVersions.stream().noneMatch(minVersion::isAfter);
    }

    BatchItem item() {
        return mItem;
    }

    ItemState state() {
        return mPosition.state();
    }

    boolean isCurrentAttempt(int number) {
        return mAttemptNumber == number;
    }

    OptionalLong lastEvent() {
        return mLastEvent;
    }

    int eventCount() {
        return mTexts.size();
    }

    Set<WeightVersion> versions() {
        return mVersions;
    }

    long nextAttemptMs() {
        return mNextAttemptMs;
    }

    long lastProgressMs() {
        return mLastProgressMs;
    }

    /** Notes the mean time between the last events of this run. */
    void setEventIntervalMs(long eventIntervalMs) {
        mEventIntervalMs = eventIntervalMs;
    }

    long eventIntervalMs() {
        return mEventIntervalMs;
    }

    int moveCount() {
        return mMoveCount;
    }

    int sendCount() {
        return mSendCount;
    }

    Optional<TargetState> target() {
        return mTarget;
    }
}
