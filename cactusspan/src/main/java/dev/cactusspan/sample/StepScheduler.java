package dev.cactusspan.sample;

import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.text.JsonText;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which slots of a step to run, which samples to deliver, and what a trainer gets that asks
 * after a number. It does no I/O; the ledger it proposes counts only once it has been written.
 */
public final class StepScheduler {
    private final StepSpec mSpec;
    private final List<StepSpec.Slot> mSlots;
    private final long mStalenessBoundVersions;
    private final int mDeliverySamples;
    private final Deque<Integer> mOpenSlots = new ArrayDeque<>();
    private final Map<Integer, Sample> mReadySamples = new HashMap<>();
    private final BitSet mRunningSlots = new BitSet();
    private StepLedger mLedger;
    private Optional<Delivery> mLastDelivery = Optional.empty();

    /**
     * Creates a book.
     *
     * @param spec the step
     * @param ledger its ledger as written
     * @param stalenessBoundVersions how many versions a sample may be behind at hand-over
     * @param deliverySamples samples in one delivery at most
     */
    public StepScheduler(
            StepSpec spec, StepLedger ledger, long stalenessBoundVersions, int deliverySamples) {
        mSpec = spec;
        mSlots = spec.slots();
        mLedger = ledger;
        mStalenessBoundVersions = stalenessBoundVersions;
        mDeliverySamples = deliverySamples;
        BitSet delivered = ledger.deliveredSlots();
        for (int slot = 0; slot < mSlots.size(); slot++) {
            if (!delivered.get(slot)) {
                mOpenSlots.add(slot);
            }
        }
    }

    // Running

    /**
     * Takes a slot to run.
     *
     * @return the slot, empty if none is open
     */
    public Optional<Integer> takeOpenSlot() {
        Integer slot = mOpenSlots.pollFirst();
        if (slot == null) {
            return Optional.empty();
        }
        mRunningSlots.set(slot);
        return Optional.of(slot);
    }

    /**
     * Gives a slot back that failed.
     *
     * @param slot the slot
     */
    public void onSlotFailed(int slot) {
        reopen(slot);
    }

    /**
     * Takes a finished sample. One without a full label, or over the staleness bound, is rerun; a
     * second copy of a slot is dropped.
     *
     * @param slot the slot
     * @param sample the sample
     * @param active weight version in force
     * @return true if the sample is kept
     */
    public boolean onSampleFinished(int slot, Sample sample, WeightVersion active) {
        if (!mRunningSlots.get(slot)) {
            return false;
        }
        if (!sample.isLabelled() || isStale(sample, active)) {
            reopen(slot);
            return false;
        }
        mRunningSlots.clear(slot);
        mReadySamples.put(slot, sample);
        return true;
    }

    private void reopen(int slot) {
        if (mRunningSlots.get(slot)) {
            mRunningSlots.clear(slot);
            mOpenSlots.addFirst(slot);
        }
    }

    private boolean isStale(Sample sample, WeightVersion active) {
        return active.number() - sample.oldestVersion().number() > mStalenessBoundVersions;
    }

    // Delivering

    /**
     * Decides what a trainer gets.
     *
     * @param after number of the delivery that the trainer holds
     * @param active weight version in force
     * @return the plan
     */
    public DeliveryPlan plan(long after, WeightVersion active) {
        reopenStale(active);
        boolean hasLast = after == mLedger.delivery();
        boolean lacksLast = after == mLedger.held() && !hasLast;
        if (!hasLast && !lacksLast) {
            return new DeliveryPlan.Mismatch(
                    "expected after=" + mLedger.delivery() + ", found after=" + after);
        }
        if (lacksLast && !mLedger.pending().isEmpty()) {
            return planForMissingDelivery(active);
        }
        if (hasLast && mLedger.isWhole()) {
            return new DeliveryPlan.Complete();
        }
        List<Integer> slots =
                mReadySamples.keySet().stream().sorted().limit(mDeliverySamples).toList();
        boolean isLastPart = mOpenSlots.isEmpty() && mRunningSlots.isEmpty();
        boolean isDeliveryDue =
                slots.size() >= mDeliverySamples || (isLastPart && !slots.isEmpty());
        return isDeliveryDue ? deliver(after, slots) : new DeliveryPlan.Wait();
    }

    /**
     * Decides what a trainer gets that has waited long enough for a full delivery.
     *
     * @param after number of the delivery that the trainer holds
     * @param active weight version in force
     * @return the plan
     */
    public DeliveryPlan planPartial(long after, WeightVersion active) {
        DeliveryPlan plan = plan(after, active);
        if (!(plan instanceof DeliveryPlan.Wait) || mReadySamples.isEmpty()) {
            return plan;
        }
        return deliver(
                after, mReadySamples.keySet().stream().sorted().limit(mDeliverySamples).toList());
    }

    private DeliveryPlan deliver(long after, List<Integer> slots) {
        List<Sample> samples = slots.stream().map(mReadySamples::get).toList();
        return new DeliveryPlan.Write(mLedger.withDelivery(after, slots), samples);
    }

    /** The trainer lacks the last delivery: repeat it if it is here and fresh, else rerun it. */
    private DeliveryPlan planForMissingDelivery(WeightVersion active) {
        if (isLastDeliveryFresh(active)) {
            return new DeliveryPlan.Repeat(mLastDelivery.get().body());
        }
        return new DeliveryPlan.Write(mLedger.withLastDeliveryVoided(), List.of());
    }

    /**
     * Tells whether the last delivery is here and may still be handed out.
     *
     * @param active weight version in force
     * @return false if it is lost or has a sample over the staleness bound
     */
    public boolean isLastDeliveryFresh(WeightVersion active) {
        return mLastDelivery.isPresent()
                && mLastDelivery.get().samples().stream().noneMatch(s -> isStale(s, active));
    }

    private void reopenStale(WeightVersion active) {
        List<Integer> stale = new ArrayList<>();
        mReadySamples.forEach(
                (slot, sample) -> {
                    if (isStale(sample, active)) {
                        stale.add(slot);
                    }
                });
        for (int slot : stale) {
            mReadySamples.remove(slot);
            mOpenSlots.addFirst(slot);
        }
    }

    /**
     * Takes a plan whose ledger has been written.
     *
     * @param plan the plan
     * @return the bytes to hand out, empty if the last delivery was voided
     */
    public Optional<byte[]> onLedgerWritten(DeliveryPlan.Write plan) {
        List<Integer> voided = plan.samples().isEmpty() ? mLedger.pending() : List.of();
        mLedger = plan.ledger();
        if (plan.samples().isEmpty()) {
            mLastDelivery = Optional.empty();
            mOpenSlots.addAll(voided);
            return Optional.empty();
        }
        mLedger.pending().forEach(mReadySamples::remove);
        byte[] body =
                JsonText.write(
                        new Body(
                                mLedger.delivery(),
                                mSpec.step(),
                                mLedger.isWhole(),
                                plan.samples()));
        mLastDelivery = Optional.of(new Delivery(plan.samples(), body));
        return Optional.of(body);
    }

    // Accessors

    /**
     * Returns the step.
     *
     * @return the step
     */
    public StepSpec spec() {
        return mSpec;
    }

    /**
     * Returns a slot's place.
     *
     * @param slot number of the slot
     * @return its group and index
     */
    public StepSpec.Slot slot(int slot) {
        return mSlots.get(slot);
    }

    /**
     * Returns how many slots run.
     *
     * @return slots that were taken and are not finished
     */
    public int runningCount() {
        return mRunningSlots.cardinality();
    }

    /**
     * Tells whether a slot runs.
     *
     * @param slot the slot
     * @return true if it was taken and is not finished
     */
    public boolean isRunning(int slot) {
        return mRunningSlots.get(slot);
    }

    /**
     * Tells whether all slots run, are ready or are delivered.
     *
     * @return true if none is open
     */
    public boolean hasNoOpenSlots() {
        return mOpenSlots.isEmpty();
    }

    /**
     * Returns how many samples wait to be delivered.
     *
     * @return the number of samples
     */
    public int readyCount() {
        return mReadySamples.size();
    }

    /**
     * Returns the ledger as written.
     *
     * @return the ledger
     */
    public StepLedger ledger() {
        return mLedger;
    }

    private record Delivery(List<Sample> samples, byte[] body) {}

    private record Body(long delivery, long step, boolean stepComplete, List<Sample> samples) {}
}
