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
    private int mSends;
    private int mMoves;
    private long mPaceMs;
    private long mNextMs;
    private long mProgressMs;
    private Optional<TargetState> mTarget = Optional.empty();
    private Runnable mBreakOff = () -> {};

    /** Counts runs, so that what a former run still says is told apart. */
    private int mRunNumber;

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
    int begin(TargetState target, long nowMs) {
        mTarget = Optional.of(target);
        target.recordSent();
        mSends++;
        mProgressMs = nowMs;
        mPaceMs = 0;
        return ++mRunNumber;
    }

    void breakOffWith(Runnable breakOff) {
        mBreakOff = breakOff;
    }

    /** Ends the present run or scoring call; what it still says is ignored. */
    void release() {
        mTarget.ifPresent(TargetState::recordEnded);
        mTarget = Optional.empty();
        mRunNumber++;
        mBreakOff = () -> {};
    }

    /** Breaks the present run or scoring call off. */
    void breakOff() {
        Runnable breakOff = mBreakOff;
        release();
        breakOff.run();
    }

    void startsWith(WeightVersion version) {
        mVersion = version;
    }

    /** Takes an event; returns false if it does not follow the last one. */
    boolean take(TextEvent event, long nowMs) {
        if (mLastEvent.isPresent() && event.id() != mLastEvent.getAsLong() + 1) {
            return false;
        }
        if (!event.version().equals(WeightVersion.NONE)) {
            mVersion = event.version();
        }
        mLastEvent = OptionalLong.of(event.id());
        mTexts.add(event.data());
        mVersions.add(mVersion);
        mProgressMs = nowMs;
        return true;
    }

    /** Drops the text so far, so that the next run begins anew. */
    void restart() {
        mTexts.clear();
        mVersions.clear();
        mLastEvent = OptionalLong.empty();
    }

    int failed() {
        return ++mFailures;
    }

    int scoreFailed() {
        return ++mScoreFailures;
    }

    /** Notes a move away from a slow target. */
    void moved() {
        mMoves++;
    }

    void retryAt(long atMs) {
        mNextMs = atMs;
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
        boolean isGrowing = state() == ItemState.RUNNING || state() == ItemState.WAITING;
        if (!isGrowing || mLastEvent.isEmpty()) {
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

    boolean isWithin(WeightVersion bound) {
        return mVersions.stream().noneMatch(bound::isAfter);
    }

    BatchItem item() {
        return mItem;
    }

    ItemState state() {
        return mPosition.state();
    }

    boolean isRun(int number) {
        return mRunNumber == number;
    }

    OptionalLong lastEvent() {
        return mLastEvent;
    }

    int events() {
        return mTexts.size();
    }

    Set<WeightVersion> versions() {
        return mVersions;
    }

    long nextMs() {
        return mNextMs;
    }

    long progressMs() {
        return mProgressMs;
    }

    /** Notes the mean time between the last events of this run. */
    void paced(long paceMs) {
        mPaceMs = paceMs;
    }

    long paceMs() {
        return mPaceMs;
    }

    int moves() {
        return mMoves;
    }

    int sends() {
        return mSends;
    }

    Optional<TargetState> target() {
        return mTarget;
    }
}
