package dev.cactusspan.batch;

import dev.cactusspan.fleet.ResidencyRule;
import dev.cactusspan.fleet.TargetChooser;
import dev.cactusspan.fleet.TargetState;
import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.region.Residency;
import dev.cactusspan.waiting.ServiceLines;
import dev.cactusspan.waiting.WaitingWork;
import dev.cactusspan.waiting.WorkOrder;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Has runs at slow targets wait for places at faster ones, in the same line as items without any
 * place. Load pattern: targets turn slow while each place is wanted; the items that come next take
 * the places that become free, and the longest texts stay where they take several times as long.
 */
final class RunMover {
    private final TargetTable mTargets;
    private final TargetChooser mChooser;
    private final ResidencyRule mResidency;
    private final ServiceLines mLines;
    private final LongSupplier mNowMs;

    RunMover(
            TargetTable targets,
            TargetChooser chooser,
            ResidencyRule residency,
            ServiceLines lines,
            LongSupplier nowMs) {
        mTargets = targets;
        mChooser = chooser;
        mResidency = residency;
        mLines = lines;
        mNowMs = nowMs;
    }

    /** Carries out a move. */
    interface Action {
        /**
         * Moves the run.
         *
         * @param target the faster target
         */
        void move(TargetState target);
    }

    /**
     * Has a run wait for a faster target if its own is slow.
     *
     * @param owned its batch
     * @param run the run, whose event interval has just been measured
     * @param order its place in the line
     * @param suits supplies which targets suit it now
     * @param action moves it
     */
    void consider(
            OwnedBatch owned,
            ItemRun run,
            Supplier<WorkOrder> order,
            Supplier<Predicate<TargetState>> suits,
            Action action) {
        if (run.isMoveInLine() || !isSlow(owned, run)) {
            return;
        }
        run.enterMoveLine();
        mLines.add(owned.batch().service(), new Move(owned, run, suits, action), order.get());
    }

    /** Tells whether any target, with a free place or without, is known to be much faster. */
    private boolean isSlow(OwnedBatch owned, ItemRun run) {
        return !MoveRule.fasterTargets(
                        run.eventIntervalMs(),
                        run.moveCount(),
                        serving(owned.batch(), run::mayContinueAt))
                .isEmpty();
    }

    private List<TargetState> serving(Batch batch, Predicate<TargetState> suits) {
        Residency residency = mResidency.of(batch.route(), batch.account(), batch.residency());
        return mTargets.serving(batch.service(), residency, mNowMs.getAsLong(), suits);
    }

    /** A run that waits for a place at a faster target. */
    private final class Move implements WaitingWork {
        private final OwnedBatch mOwned;
        private final ItemRun mRun;
        private final int mSendCount;
        private final Supplier<Predicate<TargetState>> mSuits;
        private final Action mAction;

        Move(OwnedBatch owned, ItemRun run, Supplier<Predicate<TargetState>> suits, Action action) {
            mOwned = owned;
            mRun = run;
            mSendCount = run.sendCount();
            mSuits = suits;
            mAction = action;
        }

        @Override
        public boolean isWaiting() {
            return mOwned.isRunning()
                    && mRun.state() == ItemState.RUNNING
                    && mRun.target().isPresent()
                    && mRun.sendCount() == mSendCount;
        }

        @Override
        public Object needs() {
            return mRun;
        }

        @Override
        public boolean place() {
            List<TargetState> faster =
                    MoveRule.fasterTargets(
                            mRun.eventIntervalMs(),
                            mRun.moveCount(),
                            serving(mOwned.batch(), mSuits.get()));
            Optional<TargetState> target = mChooser.choose(faster, mNowMs.getAsLong());
            target.ifPresent(mAction::move);
            return target.isPresent();
        }
    }
}
