package dev.cactusspan.benchmark;

import dev.cactusspan.claim.Claim;
import dev.cactusspan.claim.ClaimKey;
import dev.cactusspan.claim.ClaimPartition;
import dev.cactusspan.config.Configuration;
import dev.cactusspan.config.EnvironmentDocument.RequestClass;
import dev.cactusspan.config.StoredDocument;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.limit.FairQueue;
import dev.cactusspan.limit.QueuedItem;
import dev.cactusspan.membership.SubsetChooser;
import dev.cactusspan.membership.VmRecord;
import dev.cactusspan.result.Result;
import dev.cactusspan.routing.Candidate;
import dev.cactusspan.routing.CostRouter;
import dev.cactusspan.routing.RoutingCosts;
import dev.cactusspan.routing.ZoneDistance;
import dev.cactusspan.wire.Frame;
import dev.cactusspan.wire.FrameCodec;
import dev.cactusspan.wire.Message;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the time of each decision for input sizes that grow with the fleet. */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 4, time = 500, timeUnit = TimeUnit.MILLISECONDS)
public class DecisionBenchmark {
    private static final int ENTRIES = 330;

    /** A router and its candidates. */
    @State(Scope.Benchmark)
    public static class Routing {
        @Param({"8", "32", "64", "128"})
        int mSize;

        private List<Candidate> mCandidates;
        private CostRouter mRouter;
        private long mAffinity;

        /** Creates the candidates. */
        @Setup
        public void setUp() {
            mCandidates = Fixtures.candidates(mSize);
            mRouter =
                    new CostRouter(
                            RoutingCosts.STANDARD,
                            zone ->
                                    zone.value().equals("z0")
                                            ? ZoneDistance.SAME_ZONE
                                            : ZoneDistance.OTHER_REGION,
                            new SplittableRandom(1));
        }
    }

    @Benchmark
    public Optional<Candidate> route(Routing state) {
        return state.mRouter.choose(state.mCandidates, ++state.mAffinity);
    }

    /** A queue with a backlog for each account. */
    @State(Scope.Benchmark)
    public static class Queue {
        @Param({"8", "64", "256", "1024"})
        int mSize;

        private FairQueue<Integer> mQueue;
        private List<QueuedItem<Integer>> mItems;
        private int mNext;

        /** Fills the queue. */
        @Setup
        public void setUp() {
            mQueue = new FairQueue<>(1 << 20);
            mItems = new ArrayList<>();
            for (int i = 0; i < mSize; i++) {
                AccountId account = AccountId.of("a" + i);
                mItems.add(new QueuedItem<>(account, RequestClass.INTERACTIVE, 1, 0, i));
                mQueue.add(mItems.get(i));
                mQueue.add(mItems.get(i));
            }
        }
    }

    @Benchmark
    public Optional<QueuedItem<Integer>> queue(Queue state) {
        state.mQueue.add(state.mItems.get(state.mNext++ % state.mSize));
        return state.mQueue.poll(item -> true);
    }

    /** A document with a number of accounts. */
    @State(Scope.Benchmark)
    public static class Document {
        @Param({"8", "64", "256", "1024"})
        int mSize;

        private StoredDocument mStored;

        /** Creates the document. */
        @Setup
        public void setUp() {
            mStored = Fixtures.document(mSize);
        }
    }

    @Benchmark
    public Result<Configuration> configure(Document state) {
        return Configuration.of(state.mStored);
    }

    /** A partition that holds a number of claims. */
    @State(Scope.Benchmark)
    public static class Claims {
        @Param({"16", "128", "512", "2048"})
        int mSize;

        private ClaimPartition mPartition;
        private long mNext;

        /** Fills the partition. */
        @Setup
        public void setUp() {
            mPartition = new ClaimPartition();
            mPartition.nextStep(0);
            for (int i = 0; i < mSize; i++) {
                submit(Long.MAX_VALUE);
            }
            runSteps(0);
        }

        private void submit(long expiresMs) {
            ClaimKey key = ClaimKey.of(AccountId.of("a"), RouteId.of("r"), "k" + mNext++);
            Claim claim = new Claim("digest", "token-" + mNext, 0, expiresMs, null);
            mPartition.acquire(key, claim, outcome -> {});
        }

        private void runSteps(long nowMs) {
            Optional<ClaimPartition.Step> step = mPartition.nextStep(nowMs);
            while (step.isPresent()) {
                if (step.get() instanceof ClaimPartition.Step.Write) {
                    mPartition.onWritten(Result.of(mNext), nowMs);
                } else {
                    mPartition.onRead(Result.of(Optional.empty()), nowMs);
                }
                step = mPartition.nextStep(nowMs);
            }
        }
    }

    @Benchmark
    public void claim(Claims state) {
        state.submit(state.mNext);
        state.runSteps(state.mNext);
    }

    /** A VM list with a number of targets. */
    @State(Scope.Benchmark)
    public static class Subset {
        @Param({"150", "300", "600", "1200"})
        int mSize;

        private final SubsetChooser mChooser = new SubsetChooser(8);
        private List<VmRecord> mEntries;
        private List<VmRecord> mTargets;

        /** Creates the VM lists. */
        @Setup
        public void setUp() {
            mEntries = Fixtures.vms("entry-", VmRecord.Role.ENTRY, ENTRIES);
            mTargets = Fixtures.vms("target-", VmRecord.Role.TARGET, mSize);
        }
    }

    @Benchmark
    public int subset(Subset state) {
        int chosen = 0;
        for (VmRecord target : state.mTargets) {
            VmRecord self = state.mEntries.get(0);
            chosen += state.mChooser.isChosen(self, target, state.mEntries) ? 1 : 0;
        }
        return chosen;
    }

    /** A frame with one chunk of a response. */
    @State(Scope.Benchmark)
    public static class Part {
        @Param({"64", "512", "4096", "16384"})
        int mSize;

        private Frame mFrame;

        /** Creates the frame. */
        @Setup
        public void setUp() {
            mFrame = new Frame(Revision.of(1), new Message.Chunk(1, 2, new byte[mSize]));
        }
    }

    @Benchmark
    public Result<Frame> frame(Part state) {
        byte[] bytes = FrameCodec.encode(state.mFrame).array();
        byte[] payload = new byte[bytes.length - FrameCodec.LENGTH_BYTES];
        System.arraycopy(bytes, FrameCodec.LENGTH_BYTES, payload, 0, payload.length);
        return FrameCodec.decode(payload);
    }
}
