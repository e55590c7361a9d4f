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
 * Decides which slots of a step to run, which samples to deliver, and how to respond to a trainer's
 * request for the next delivery. It performs no I/O; a proposed ledger takes effect only after it
 * has been written.
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
     * Creates a scheduler.
     *
     * @param spec the step
     * @param ledger its ledger as last written
     * @param stalenessBoundVersions maximum number of versions that a sample may be behind the
     *     active one when it is delivered
     * @param deliverySamples maximum number of samples in a delivery
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
     * Takes an open slot and marks it as running.
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
     * Reopens a slot whose run failed.
     *
     * @param slot the slot
     */
    public void onSlotFailed(int slot) {
        reopen(slot);
    }

    /**
     * Accepts a finished sample. A sample that is incompletely labelled or exceeds the staleness
     * bound is run again; a second sample for a slot is dropped.
     *
     * @param slot the slot
     * @param sample the sample
     * @param active active weight version
     * @return true if the sample is accepted
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
     * Decides how to respond to a trainer.
     *
     * @param after number of the delivery that the trainer holds
     * @param active active weight version
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
     * Decides how to respond to a trainer that has waited the maximum time for a full delivery.
     *
     * @param after number of the delivery that the trainer holds
     * @param active active weight version
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

    /**
     * Plans for a trainer that has not received the last delivery: repeats it if it is available
     * and fresh, otherwise voids it so that its slots run again.
     */
    private DeliveryPlan planForMissingDelivery(WeightVersion active) {
        if (isLastDeliveryFresh(active)) {
            return new DeliveryPlan.Repeat(mLastDelivery.get().body());
        }
        return new DeliveryPlan.Write(mLedger.withLastDeliveryVoided(), List.of());
    }

    /**
     * Tells whether the last delivery is available and may still be sent.
     *
     * @param active active weight version
     * @return false if it is lost or has a sample that exceeds the staleness bound
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
     * Handles the completed write of a plan's ledger.
     *
     * @param plan the plan
     * @return the body to send, empty if the last delivery was voided
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
     * Returns the position of a slot.
     *
     * @param slot number of the slot
     * @return its group and index
     */
    public StepSpec.Slot slot(int slot) {
        return mSlots.get(slot);
    }

    /**
     * Returns the number of running slots.
     *
     * @return the number of slots that were taken and are not finished
     */
    public int runningCount() {
        return mRunningSlots.cardinality();
    }

    /**
     * Tells whether a slot is running.
     *
     * @param slot the slot
     * @return true if it was taken and is not finished
     */
    public boolean isRunning(int slot) {
        return mRunningSlots.get(slot);
    }

    /**
     * Tells whether all slots are running, ready or delivered.
     *
     * @return true if none is open
     */
    public boolean hasNoOpenSlots() {
        return mOpenSlots.isEmpty();
    }

    /**
     * Returns the number of samples that wait to be delivered.
     *
     * @return the number of samples
     */
    public int readyCount() {
        return mReadySamples.size();
    }

    /**
     * Returns the ledger as last written.
     *
     * @return the ledger
     */
    public StepLedger ledger() {
        return mLedger;
    }

    private record Delivery(List<Sample> samples, byte[] body) {}

    private record Body(long delivery, long step, boolean stepComplete, List<Sample> samples) {}
}
