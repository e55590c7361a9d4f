package dev.cactusspan.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.region.Residency;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Cold targets, whose rate all processes share by permits. */
final class ColdTargetTest {
    private static final ServiceId LM = ServiceId.of("lm");
    private static final TargetId TARGET = TargetId.of("t0");
    private static final long TICK_MS = 10;
    private static final long WINDOW_MS = 1_000;
    private static final double OVERAGE = 1.5;
    private static final int SLACK = 5;
    private static final long COLD_START_MS = 3_000;

    private static ColdRates rates(double coldPerS) {
        return ColdRates.of(
                List.of(new FleetService(LM, 100, List.of(), COLD_START_MS, coldPerS)), OVERAGE);
    }

    private static TargetRecord record(long coldRemainingMs) {
        TargetRecord target = FakeTargets.record("t0", "lm", 6, 1);
        return new TargetRecord(
                target.id(),
                target.service(),
                target.software(),
                target.address(),
                target.zone(),
                target.slots(),
                false,
                0,
                1,
                target.versions(),
                coldRemainingMs);
    }

    private static TargetTable table(double coldPerS, long coldRemainingMs) {
        TargetTable table = new TargetTable();
        table.setColdRates(rates(coldPerS));
        table.put(record(coldRemainingMs));
        return table;
    }

    /** Processes that ask some issuers over a network that delays and loses messages. */
    private static final class Fleet {
        private record Delivery(long atMs, Runnable task) {}

        private final Random mRandom;
        private final int mMaxDelayMs;
        private final double mLossRate;
        private final List<PermitIssuer> mIssuers = new ArrayList<>();
        private final List<Boolean> mIsLost = new ArrayList<>();
        private final List<TargetTable> mProcesses = new ArrayList<>();
        private final List<Integer> mIssuerOf = new ArrayList<>();
        private final PriorityQueue<Delivery> mNetwork =
                new PriorityQueue<>((a, b) -> Long.compare(a.atMs(), b.atMs()));
        private final List<Long> mSentMs = new ArrayList<>();
        private long mNowMs = 1_000_000;

        Fleet(Random random, int processes, int maxDelayMs, double lossRate, double coldPerS) {
            mRandom = random;
            mMaxDelayMs = maxDelayMs;
            mLossRate = lossRate;
            for (int i = 0; i < 3; i++) {
                mIssuers.add(new PermitIssuer());
                mIsLost.add(false);
            }
            for (int i = 0; i < processes; i++) {
                mProcesses.add(table(coldPerS, 60_000));
                mIssuerOf.add(random.nextInt(3));
            }
        }

        void run(long forMs, double demand) {
            for (long untilMs = mNowMs + forMs; mNowMs < untilMs; mNowMs += TICK_MS) {
                while (!mNetwork.isEmpty() && mNetwork.peek().atMs() <= mNowMs) {
                    mNetwork.poll().task().run();
                }
                mIssuers.forEach(issuer -> issuer.tick(mNowMs));
                for (int i = 0; i < mProcesses.size(); i++) {
                    tick(i, demand);
                }
            }
        }

        private void tick(int index, double demand) {
            // A process that is short of processor time runs its periodic work late.
            TargetTable process = mProcesses.get(index);
            if (mRandom.nextInt(4) == 0) {
                process.tick(mNowMs);
            }
            if (mRandom.nextDouble() < demand) {
                for (TargetState target :
                        process.candidates(LM, Residency.ANYWHERE, mNowMs, t -> true)) {
                    target.recordSent(mNowMs);
                    mSentMs.add(mNowMs);
                }
            }
            TargetState target = process.find(TARGET).orElseThrow();
            target.nextPermitRequest(mNowMs).ifPresent(r -> request(index, target, r));
        }

        private void request(int index, TargetState target, PermitRequest request) {
            int issuer = mIssuerOf.get(index);
            if (mIsLost.get(issuer) || mRandom.nextDouble() < mLossRate) {
                mNetwork.add(
                        new Delivery(
                                mNowMs + PermitIssuer.MAX_WAIT_MS,
                                () -> target.onPermits(PermitGrant.NONE, mNowMs)));
                return;
            }
            deliver(
                    () ->
                            mIssuers.get(issuer)
                                    .request(
                                            request,
                                            mNowMs,
                                            grant ->
                                                    deliver(
                                                            () ->
                                                                    target.onPermits(
                                                                            grant, mNowMs))));
        }

        private void deliver(Runnable task) {
            mNetwork.add(new Delivery(mNowMs + mRandom.nextInt(mMaxDelayMs + 1), task));
        }

        /** Ends an issuer's process, which comes back without any state, or has it believed in. */
        void disturb() {
            int issuer = mRandom.nextInt(3);
            mIsLost.set(issuer, !mIsLost.get(issuer));
            mIssuers.set(issuer, new PermitIssuer());
            mIssuerOf.replaceAll(i -> mRandom.nextInt(3) == 0 ? mRandom.nextInt(3) : i);
        }

        int mostInWindow() {
            int most = 0;
            for (int from = 0, to = 0; to < mSentMs.size(); to++) {
                while (mSentMs.get(from) <= mSentMs.get(to) - WINDOW_MS) {
                    from++;
                }
                most = Math.max(most, to - from + 1);
            }
            return most;
        }
    }

    /** Three issuers at once, which come and go, with any delay and loss of messages. */
    @Property(seed = "3103", tries = 300)
    void shouldKeepTheBoundInAnySecond(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 24) int processes,
            @ForAll @DoubleRange(min = 0.5, max = 40) double coldPerS,
            @ForAll @IntRange(min = 0, max = 900) int maxDelayMs,
            @ForAll @DoubleRange(min = 0, max = 0.5) double lossRate) {
        Random random = new Random(seed);
        Fleet fleet = new Fleet(random, processes, maxDelayMs, lossRate, coldPerS);
        for (int i = 0; i < 8; i++) {
            fleet.run(700, random.nextDouble());
            fleet.disturb();
        }
        assertThat(fleet.mostInWindow(), is(lessThanOrEqualTo((int) (OVERAGE * coldPerS + SLACK))));
    }

    @Test
    void shouldGiveWorkToAColdTarget() {
        Fleet fleet = new Fleet(new Random(1), 12, 40, 0, 12);
        fleet.mIssuerOf.replaceAll(i -> 0);
        fleet.run(10_000, 1);
        assertThat(fleet.mSentMs.size(), is(greaterThan(35)));
    }

    @Test
    void shouldNeedNoPermitWhereTheServiceBearsAll() {
        TargetTable table = table(0, 2_000);
        assertThat(admits(table, 0), is(true));
    }

    @Test
    void shouldFollowWhatTheEntrySays() {
        TargetTable table = table(12, 2_000);
        assertThat(admits(table, 0), is(false));
        OptionalDouble cold = limit(table, 100);
        assertThat(limit(table, 1_900), is(cold));
        table.put(record(500));
        assertThat(limit(table, 2_200), is(cold));
        table.put(record(0));
        assertThat(limit(table, 2_300).getAsDouble(), is(cold.getAsDouble()));
        assertThat(limit(table, 2_300 + ColdPeriod.RAMP_MS).isPresent(), is(false));
        assertThat(admits(table, 4_000), is(true));
        table.put(record(1_000));
        assertThat(admits(table, 4_100), is(false));
    }

    @Test
    void shouldRampUpAfterTheColdTime() {
        ColdPeriod period = new ColdPeriod();
        period.recordListed(1_000);
        double cold = period.limitPerS(4, 0).getAsDouble();
        double previous = cold;
        for (long ms = 1_250; ms < 1_000 + ColdPeriod.RAMP_MS; ms += 250) {
            double limit = period.limitPerS(4, ms).getAsDouble();
            assertThat(limit, is(2 * previous));
            previous = limit;
        }
        assertThat(period.limitPerS(4, 1_000 + ColdPeriod.RAMP_MS).isPresent(), is(false));
    }

    @Test
    void shouldFollowWhatAResponseSays() {
        ColdPeriod period = new ColdPeriod();
        assertThat(period.limitPerS(4, 0).isPresent(), is(false));
        period.recordObserved(500, 100);
        assertThat(period.limitPerS(4, 599), is(OptionalDouble.of(4)));
        period.recordObserved(0, 600);
        assertThat(period.limitPerS(4, 600 + ColdPeriod.RAMP_MS).isPresent(), is(false));
    }

    @Test
    void shouldTreatATargetThatMayHaveStartedAgainAsCold() {
        TargetTable table = table(12, 0);
        assertThat(admits(table, 0), is(true));
        table.recordUnreachable(record(0), 100);
        table.put(record(0));
        assertThat(admits(table, 100 + COLD_START_MS), is(false));
        assertThat(admits(table, 100 + COLD_START_MS + 2_000 + ColdPeriod.RAMP_MS), is(true));
    }

    @Test
    void shouldNotTakeATargetForColdThatStillRunsOtherRequests() {
        TargetTable table = table(12, 0);
        table.find(TARGET).orElseThrow().recordSent(0);
        table.find(TARGET).orElseThrow().recordSent(50);
        table.recordUnreachable(record(0), 100);
        assertThat(admits(table, 200), is(true));
    }

    @Test
    void shouldTakeAZoneBackAsIfItWereCold() {
        TargetTable table = table(12, 0);
        AvailabilityZoneId zone = record(0).zone();
        table.evacuate(zone);
        table.takeBack(zone, 1_000);
        assertThat(admits(table, 1_100), is(false));
        assertThat(admits(table, 3_900), is(false));
        assertThat(admits(table, 4_000 + ColdPeriod.RAMP_MS), is(true));
    }

    @Test
    void shouldNotUseAPermitThatMayHaveBeenIssuedLongAgo() {
        TargetTable table = table(12, 60_000);
        TargetState target = table.find(TARGET).orElseThrow();
        table.candidates(LM, Residency.ANYWHERE, 0, t -> true);
        assertThat(target.nextPermitRequest(0).isPresent(), is(true));
        target.onPermits(new PermitGrant(2, 0, 100), RequestAllowance.COLD_PERMIT_TTL_MS + 50);
        assertThat(admits(table, RequestAllowance.COLD_PERMIT_TTL_MS + 60), is(true));
        assertThat(admits(table, RequestAllowance.COLD_PERMIT_TTL_MS + 100), is(false));
    }

    @Test
    void shouldHoldTheLowerOfTwoLimits() {
        RequestAllowance allowance = new RequestAllowance(TARGET);
        allowance.recordResponse(OptionalDouble.of(2), 200, 0, 100);
        allowance.setColdLimit(OptionalDouble.of(4), 100);
        allowance.wantPermit();
        PermitRequest request = allowance.nextRequest(100).orElseThrow();
        assertThat(request.limitPerS(), is(2.0));
        assertThat(request.isCold(), is(true));
        allowance.recordResponse(OptionalDouble.empty(), 200, 150, 200);
        assertThat(allowance.admits(200), is(false));
        assertThat(allowance.permitWaitMs(200), is(OptionalLong.of(0)));
    }

    private static boolean admits(TargetTable table, long nowMs) {
        return !table.serving(LM, Residency.ANYWHERE, nowMs, t -> true).isEmpty();
    }

    /** Returns the limit that the target's permits are requested with. */
    private static OptionalDouble limit(TargetTable table, long nowMs) {
        TargetState target = table.find(TARGET).orElseThrow();
        target.onPermits(PermitGrant.NONE, nowMs - 10_000);
        table.candidates(LM, Residency.ANYWHERE, nowMs, t -> true);
        return target.nextPermitRequest(nowMs)
                .map(r -> OptionalDouble.of(r.limitPerS()))
                .orElse(OptionalDouble.empty());
    }
}
