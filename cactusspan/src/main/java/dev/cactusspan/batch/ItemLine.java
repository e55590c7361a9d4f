package dev.cactusspan.batch;

import dev.cactusspan.id.ServiceId;
import dev.cactusspan.waiting.Flow;
import dev.cactusspan.waiting.Rank;
import dev.cactusspan.waiting.Ranks;
import dev.cactusspan.waiting.ServiceLines;
import dev.cactusspan.waiting.WaitingWork;
import dev.cactusspan.waiting.WorkOrder;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/** Has items wait for places at the targets that generate and score their texts. */
final class ItemLine {
    private final ServiceLines mLines;
    private final Ranks mRanks;
    private final ItemScorer mScorer;
    private final Placer mPlacer;
    private boolean mIsHeld;
    private boolean mIsStopped;

    ItemLine(ServiceLines lines, Ranks ranks, ItemScorer scorer, Placer placer) {
        mLines = lines;
        mRanks = ranks;
        mScorer = scorer;
        mPlacer = placer;
    }

    /** Sends items to targets. */
    interface Placer {
        /**
         * Sends an item to a target.
         *
         * @param owned its batch
         * @param run the item
         * @return false if no target has a place for it
         */
        boolean place(OwnedBatch owned, ItemRun run);
    }

    // Operations

    /** Sets whether items wait, because it is not known whether their batches have ended. */
    void hold(boolean isHeld) {
        mIsHeld = isHeld;
    }

    /** Stops placing items. */
    void stop() {
        mIsStopped = true;
    }

    /** Has an item wait for a place at a target that generates or scores its text. */
    void enter(OwnedBatch owned, ItemRun run) {
        Optional<ServiceId> service =
                run.state() == ItemState.SCORING
                        ? mScorer.service(run)
                        : Optional.of(owned.batch().service());
        if (service.isEmpty()) {
            return;
        }
        run.enterLine();
        mLines.add(service.get(), new ItemWork(owned, run), order(owned, run));
    }

    /** An item that waits for a place. */
    private final class ItemWork implements WaitingWork {
        private final OwnedBatch mOwned;
        private final ItemRun mRun;

        ItemWork(OwnedBatch owned, ItemRun run) {
            mOwned = owned;
            mRun = run;
        }

        @Override
        public boolean isWaiting() {
            return !mIsStopped && mOwned.isRunning() && mRun.isInLine() && mRun.isWaiting();
        }

        @Override
        public Object needs() {
            return List.of(mOwned.batch().id(), mRun.needs());
        }

        @Override
        public boolean place() {
            return !mIsHeld && mPlacer.place(mOwned, mRun);
        }
    }

    // Accessors

    /** Returns what determines the place of an item in its line. */
    WorkOrder order(OwnedBatch owned, ItemRun run) {
        Batch batch = owned.batch();
        return new WorkOrder(
                rank(batch, run),
                run.need(),
                new Flow(batch.account(), batch.route()),
                owned.dueMs(),
                run.position());
    }

    /** Returns the urgency with which an engine should run an item. */
    OptionalInt urgency(Batch batch, ItemRun run) {
        return mRanks.urgency(batch.service(), rank(batch, run));
    }

    private Rank rank(Batch batch, ItemRun run) {
        return mRanks.of(batch.host(), run.item().path(), Optional.of(batch.account()));
    }
}
