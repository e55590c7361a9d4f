package dev.cactusspan.batch;

import dev.cactusspan.chart.StateChart;
import dev.cactusspan.chart.StateMachine;
import dev.cactusspan.fleet.TargetState;
import dev.cactusspan.fleet.TextEvent;
import dev.cactusspan.id.SoftwareVersion;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.waiting.Need;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The run of an item up to its result, over any number of attempts at targets. Its text consists of
 * the events received so far, from which a later attempt resumes at a target of the same software
 * version; the weight versions that generated them are recorded as well.
 */
final class ItemRun {
    private static final StateChart<ItemState, ItemEvent> CHART =
            StateChart.load("/dev/cactusspan/chart/item.json", ItemState.class, ItemEvent.class);

    private final BatchItem mItem;
    private final Need mNeed;
    private final int mPosition;
    private final StateMachine<ItemState, ItemEvent> mState = StateMachine.of(CHART);
    private final List<String> mTexts = new ArrayList<>();
    private int mTextChars;
    private final Set<WeightVersion> mVersions = new LinkedHashSet<>();
    private OptionalLong mLastEvent = OptionalLong.empty();
    private WeightVersion mVersion = WeightVersion.NONE;
    private SoftwareVersion mSoftware = SoftwareVersion.NONE;
    private int mFailures;
    private int mScoreFailures;
    private final FailedTargets mFailedTargets = new FailedTargets();
    private final FailedTargets mFailedScorers = new FailedTargets();
    private int mSendCount;
    private int mMoveCount;
    private long mEventIntervalMs;
    private long mNextAttemptMs;
    private boolean mIsInLine;
    private boolean mIsMoveInLine;
    private long mWaitingSinceMs = -1;
    private long mLastProgressMs;
    private Optional<TargetState> mTarget = Optional.empty();
    private String mLatestTarget = "";
    private SoftwareVersion mLatestSoftware = SoftwareVersion.NONE;
    private Runnable mCancelAction = () -> {};

    /** Number of the current attempt, used to ignore late events of former attempts. */
    private int mAttemptNumber;

    /**
     * Creates the run of an item.
     *
     * @param item the item
     * @param need what the trainer loses while it waits
     * @param position its position in the dispatch order of its batch
     */
    ItemRun(BatchItem item, Need need, int position) {
        mItem = item;
        mNeed = need;
        mPosition = position;
    }

    // Operations

    /** Restores the progress that a former owner saved, if its software version is known. */
    void restore(ItemProgress progress) {
        if (progress.software().equals(SoftwareVersion.NONE)) {
            return;
        }
        mSoftware = progress.software();
        mTexts.addAll(progress.texts());
        mTextChars = mTexts.stream().mapToInt(String::length).sum();
        mVersions.addAll(progress.versions());
        mVersion = progress.version();
        mLastEvent = OptionalLong.of(progress.lastEvent());
    }

    boolean apply(ItemEvent event) {
        return mState.apply(event);
    }

    /** Starts an attempt, which generates or scores the text at a target; returns its number. */
    int startAttempt(TargetState target, long nowMs) {
        mTarget = Optional.of(target);
        mLatestTarget = target.record().id().value();
        mLatestSoftware = target.record().software();
        target.recordSent(nowMs);
        mSendCount++;
        mIsInLine = false;
        mIsMoveInLine = false;
        mWaitingSinceMs = -1;
        mLastProgressMs = nowMs;
        mEventIntervalMs = 0;
        return ++mAttemptNumber;
    }

    void setCancelAction(Runnable cancelAction) {
        mCancelAction = cancelAction;
    }

    /** Ends the current attempt; its late events are ignored. */
    void endAttempt() {
        mTarget.ifPresent(TargetState::recordEnded);
        mTarget = Optional.empty();
        mAttemptNumber++;
        mCancelAction = () -> {};
    }

    /** Cancels the current attempt. */
    void cancelAttempt() {
        Runnable cancelAction = mCancelAction;
        endAttempt();
        cancelAction.run();
    }

    void setVersion(WeightVersion version) {
        mVersion = version;
    }

    /** Appends an event to the text; returns false if it does not follow the last one. */
    boolean append(TextEvent event, long nowMs) {
        if (mLastEvent.isPresent() && event.id() != mLastEvent.getAsLong() + 1) {
            return false;
        }
        if (!event.version().equals(WeightVersion.NONE)) {
            mVersion = event.version();
        }
        if (mTexts.isEmpty()) {
            mSoftware = mLatestSoftware;
        }
        mLastEvent = OptionalLong.of(event.id());
        mTexts.add(event.data());
        mTextChars += event.data().length();
        mVersions.add(mVersion);
        mLastProgressMs = nowMs;
        return true;
    }

    /** Discards the text so far, so that the next attempt starts from the beginning. */
    void discardText() {
        mTexts.clear();
        mTextChars = 0;
        mVersions.clear();
        mSoftware = SoftwareVersion.NONE;
        mLastEvent = OptionalLong.empty();
    }

    /** Counts a failure of the current target to generate the text; returns the failures so far. */
    int recordFailure(long nowMs) {
        mTarget.ifPresent(t -> mFailedTargets.add(t.record().id(), nowMs));
        return ++mFailures;
    }

    /** Counts a failure of the current target to score the text; returns the failures so far. */
    int recordScoreFailure(long nowMs) {
        mTarget.ifPresent(t -> mFailedScorers.add(t.record().id(), nowMs));
        return ++mScoreFailures;
    }

    /** Tells whether a target may generate or, if the text is complete, score it now. */
    boolean allows(TargetState target, long nowMs) {
        FailedTargets failed = state() == ItemState.SCORING ? mFailedScorers : mFailedTargets;
        return failed.allows(target, nowMs);
    }

    /** Records that no target of the text's software version can take it; returns since when. */
    long waitForSoftware(long nowMs) {
        mWaitingSinceMs = mWaitingSinceMs < 0 ? nowMs : mWaitingSinceMs;
        return mWaitingSinceMs;
    }

    /** Counts a move away from a slow target. */
    void recordMove() {
        mMoveCount++;
    }

    /** Records that the run waits in the line of a service. */
    void enterLine() {
        mIsInLine = true;
    }

    /** Records that the run waits for a faster target. */
    void enterMoveLine() {
        mIsMoveInLine = true;
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

    /**
     * Returns the progress of an unfinished text, empty if another attempt would start from the
     * beginning.
     */
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
                        mVersion,
                        mSoftware));
    }

    /** Tells whether the text may go on at a target, or begin there. */
    boolean mayContinueAt(TargetState target) {
        return ResumeRule.mayContinue(mSoftware, target.record().software());
    }

    boolean meetsMinVersion(WeightVersion minVersion) {
        return mVersions.stream().noneMatch(minVersion::isAfter);
    }

    /** Returns what the trainer loses while the run waits. */
    Need need() {
        return state() == ItemState.SCORING ? Need.SCORE : mNeed;
    }

    int position() {
        return mPosition;
    }

    /** Tells whether the run needs a place at a target. */
    boolean isWaiting() {
        return mTarget.isEmpty() && (state() == ItemState.WAITING || state() == ItemState.SCORING);
    }

    boolean isMoveInLine() {
        return mIsMoveInLine;
    }

    boolean isInLine() {
        return mIsInLine;
    }

    /** Returns which targets suit the run, equal for those that the same targets suit. */
    Object needs() {
        boolean isRestricted = !mFailedTargets.isEmpty() || !mFailedScorers.isEmpty();
        return isRestricted ? this : List.of(state(), mSoftware, mTexts.isEmpty());
    }

    BatchItem item() {
        return mItem;
    }

    ItemState state() {
        return mState.state();
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

    int textChars() {
        return mTextChars;
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

    /** Sets the mean time between the latest events of this attempt, in milliseconds. */
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

    /** Returns the id of the target of the latest attempt, empty if there was none. */
    String latestTarget() {
        return mLatestTarget;
    }

    /** Returns the software version that began the text, {@code NONE} if it has no event yet. */
    SoftwareVersion software() {
        return mSoftware;
    }

    /** Returns the software version of the latest attempt's target. */
    SoftwareVersion latestSoftware() {
        return mLatestSoftware;
    }

    Optional<TargetState> target() {
        return mTarget;
    }
}
