package dev.cactusspan.entry;

import com.google.common.flogger.FluentLogger;
import dev.cactusspan.id.DutyId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.id.VmId;
import dev.cactusspan.lease.DutyLease;
import dev.cactusspan.lease.LeaseRecord;
import dev.cactusspan.lease.LeaseTimes;
import dev.cactusspan.membership.Rendezvous;
import dev.cactusspan.membership.VmRecord;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.result.FutureResults;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * Acquires the leases of duties and runs the duties that are held. Rendezvous hashing selects two
 * candidate entries for each duty, so that duties spread over all entries and only a few entries
 * read each lease.
 */
final class DutyManager {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final int CANDIDATES = 2;

    private final EnvironmentId mEnvironment;
    private final VmId mSelf;
    private final String mOwner;
    private final KeyValueService mKeyValues;
    private final Executor mThread;
    private final LeaseTimes mTimes;
    private final LongSupplier mNowMs;
    private final Map<DutyId, Holding> mHoldings = new TreeMap<>();
    private List<VmRecord> mEntries = List.of();

    DutyManager(
            EnvironmentId environment,
            VmId self,
            String owner,
            KeyValueService keyValues,
            Executor thread,
            LeaseTimes times,
            LongSupplier nowMs) {
        mEnvironment = environment;
        mSelf = self;
        mOwner = owner;
        mKeyValues = keyValues;
        mThread = thread;
        mTimes = times;
        mNowMs = nowMs;
    }

    // Operations

    /** Adds a duty if it is absent. */
    void add(Duty duty) {
        mHoldings.computeIfAbsent(
                duty.id(), id -> new Holding(duty, new DutyLease(mOwner, mTimes)));
        updateCandidates();
    }

    boolean contains(DutyId duty) {
        return mHoldings.containsKey(duty);
    }

    /** Returns whether this entry is a candidate for a duty. */
    boolean isCandidate(DutyId duty) {
        return isAmongCandidates(duty);
    }

    void updateEntries(List<VmRecord> entries) {
        mEntries = entries;
        updateCandidates();
    }

    private void updateCandidates() {
        mHoldings.forEach((id, holding) -> holding.mLease.setCandidate(isAmongCandidates(id)));
    }

    private boolean isAmongCandidates(DutyId duty) {
        boolean isListed = mEntries.stream().anyMatch(e -> e.vm().equals(mSelf));
        return isListed && Rendezvous.rank(duty.value(), mSelf, mEntries) < CANDIDATES;
    }

    void tick() {
        for (Holding holding : mHoldings.values()) {
            advanceLease(holding);
            boolean isHeld = holding.fencingNumber().isPresent();
            if (isHeld != holding.mWasHeld) {
                holding.mWasHeld = isHeld;
                sLog.atInfo().log(
                        "duty %s is %s (%s)",
                        holding.mDuty.id(), isHeld ? "held" : "not held", holding.fencingNumber());
            }
            if (isHeld) {
                holding.mDuty.tick(holding::fencingNumber, mNowMs.getAsLong());
            }
        }
    }

    private void advanceLease(Holding holding) {
        DutyLease lease = holding.mLease;
        Optional<DutyLease.Step> step = lease.nextStep(mNowMs.getAsLong());
        if (step.isEmpty()) {
            return;
        }
        String key = LeaseRecord.key(mEnvironment, holding.mDuty.id());
        if (step.get() instanceof DutyLease.Step.Write write) {
            FutureResults.deliver(
                    mKeyValues.compareAndSwap(key, write.expectedVersion(), write.value()),
                    mThread,
                    r -> lease.onWritten(r, mNowMs.getAsLong()));
            return;
        }
        FutureResults.deliver(
                mKeyValues.get(key), mThread, r -> lease.onRead(r, mNowMs.getAsLong()));
    }

    /** Releases all leases, so that successors need not wait for them to expire. */
    void releaseAll() {
        mHoldings.values().forEach(holding -> holding.mLease.release());
    }

    /** Returns the duties that this entry holds. */
    List<DutyId> heldDuties() {
        return mHoldings.values().stream()
                .filter(h -> h.fencingNumber().isPresent())
                .map(h -> h.mDuty.id())
                .toList();
    }

    private final class Holding {
        private final Duty mDuty;
        private final DutyLease mLease;
        private boolean mWasHeld;

        Holding(Duty duty, DutyLease lease) {
            mDuty = duty;
            mLease = lease;
        }

        Optional<FencingNumber> fencingNumber() {
            return mLease.heldFencingNumber(mNowMs.getAsLong());
        }
    }
}
