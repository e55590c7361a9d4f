package dev.cactusspan.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.cactusspan.id.TargetId;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Processes that share the request limit of one target. */
final class PermitIssuerTest {
    private static final TargetId TARGET = TargetId.of("t0");
    private static final long TICK_MS = 10;
    private static final long WINDOW_MS = 4_000;

    /** An issuer with processes that request permits from it over a slow network. */
    private static final class Fleet {
        private record Delivery(long atMs, Runnable task) {}

        private final Random mRandom;
        private final int mMaxDelayMs;
        private final PermitIssuer[] mIssuers = {new PermitIssuer(), new PermitIssuer()};
        private final List<RequestAllowance> mProcesses = new ArrayList<>();
        private final List<Integer> mIssuerOf = new ArrayList<>();
        private final PriorityQueue<Delivery> mNetwork =
                new PriorityQueue<>((a, b) -> Long.compare(a.atMs(), b.atMs()));
        private final List<Long> mSentMs = new ArrayList<>();
        private long mNowMs = 1_000_000;

        Fleet(Random random, int processes, int maxDelayMs, double limitPerS) {
            mRandom = random;
            mMaxDelayMs = maxDelayMs;
            for (int i = 0; i < processes; i++) {
                RequestAllowance process = new RequestAllowance(TARGET);
                process.recordResponse(OptionalDouble.of(limitPerS), 200, mNowMs, mNowMs);
                mProcesses.add(process);
                mIssuerOf.add(0);
            }
        }

        /** Has each process send as much as it may; each wants to send with a probability. */
        void run(long forMs, double demandPerTick) {
            for (long untilMs = mNowMs + forMs; mNowMs < untilMs; mNowMs += TICK_MS) {
                while (!mNetwork.isEmpty() && mNetwork.peek().atMs() <= mNowMs) {
                    mNetwork.poll().task().run();
                }
                for (PermitIssuer issuer : mIssuers) {
                    issuer.tick(mNowMs);
                }
                for (int i = 0; i < mProcesses.size(); i++) {
                    tick(i, demandPerTick);
                }
            }
        }

        private void tick(int index, double demand) {
            RequestAllowance process = mProcesses.get(index);
            process.tick(mNowMs);
            if (mRandom.nextDouble() < demand) {
                if (process.admits(mNowMs)) {
                    process.recordSent(mNowMs);
                    mSentMs.add(mNowMs);
                } else {
                    process.wantPermit();
                }
            }
            process.nextRequest(mNowMs)
                    .ifPresent(request -> deliver(() -> requestPermits(index, request)));
        }

        private void requestPermits(int index, PermitRequest request) {
            RequestAllowance process = mProcesses.get(index);
            mIssuers[mIssuerOf.get(index)].request(
                    request, mNowMs, grant -> deliver(() -> process.onPermits(grant, mNowMs)));
        }

        private void deliver(Runnable task) {
            mNetwork.add(new Delivery(mNowMs + mRandom.nextInt(mMaxDelayMs + 1), task));
        }

        /** Has a process take its permits from the other issuer. */
        void changeIssuer(int process) {
            mIssuerOf.set(process, 1 - mIssuerOf.get(process));
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

    private static int allowed(double limitPerS) {
        return (int) (1.5 * limitPerS * WINDOW_MS / 1_000) + 5;
    }

    @Property(seed = "21")
    void shouldKeepTheLimitOverAllProcesses(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 30) int processes,
            @ForAll @DoubleRange(min = 0.2, max = 40) double limitPerS,
            @ForAll @IntRange(min = 0, max = 300) int maxDelayMs) {
        Random random = new Random(seed);
        Fleet fleet = new Fleet(random, processes, maxDelayMs, limitPerS);
        for (int i = 0; i < 6; i++) {
            fleet.run(2_000, random.nextDouble());
        }
        assertThat(fleet.mostInWindow(), is(lessThanOrEqualTo(allowed(limitPerS))));
    }

    /** For a moment some processes know the new issuer and others still the old one. */
    @Property(seed = "22")
    void shouldKeepTheLimitWhileTheIssuerChanges(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 12) int processes,
            @ForAll @DoubleRange(min = 0.2, max = 40) double limitPerS) {
        Random random = new Random(seed);
        Fleet fleet = new Fleet(random, processes, 40, limitPerS);
        fleet.run(6_000, 1);
        for (int i = 0; i < processes; i++) {
            fleet.changeIssuer(i);
            fleet.run(1_000 / processes, 1);
        }
        fleet.run(6_000, 1);
        assertThat(fleet.mostInWindow(), is(lessThanOrEqualTo(allowed(limitPerS))));
    }

    @Test
    void shouldGiveMostOfTheLimitToTheProcessesWithWork() {
        Fleet fleet = new Fleet(new Random(1), 5, 40, 5);
        fleet.run(20_000, 1);
        assertThat(fleet.mSentMs.size(), is(greaterThan(90)));
    }

    @Test
    void shouldGrantPermitsInTheOrderOfTheRequests() {
        PermitIssuer issuer = new PermitIssuer();
        List<String> granted = new ArrayList<>();
        for (String name : List.of("a", "b", "c")) {
            issuer.request(new PermitRequest(TARGET, 4, 2), 0, g -> granted.add(name));
        }
        issuer.tick(260);
        assertThat(granted, is(List.of("a")));
        issuer.tick(520);
        issuer.tick(780);
        assertThat(granted, is(List.of("a", "b", "c")));
    }

    @Test
    void shouldAnswerWithoutPermitsAfterTheMaximumWait() {
        PermitIssuer issuer = new PermitIssuer();
        List<PermitGrant> grants = new ArrayList<>();
        issuer.request(new PermitRequest(TARGET, 0, 1), 0, grants::add);
        issuer.tick(PermitIssuer.MAX_WAIT_MS);
        assertThat(grants.get(0).permits(), is(0));
        assertThat(grants.get(0).nextPermitMs(), is(greaterThan(1_000L)));
    }

    @Test
    void shouldEndALimitOnlyByAResponseToALaterRequest() {
        RequestAllowance allowance = new RequestAllowance(TARGET);
        allowance.recordResponse(OptionalDouble.of(2), 200, 0, 100);
        allowance.recordResponse(OptionalDouble.empty(), 200, 50, 110);
        assertThat(allowance.admits(110), is(false));
        allowance.recordResponse(OptionalDouble.empty(), 500, 120, 150);
        assertThat(allowance.admits(150), is(true));
    }
}
