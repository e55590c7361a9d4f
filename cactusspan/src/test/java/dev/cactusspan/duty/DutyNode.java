package dev.cactusspan.duty;

import dev.cactusspan.fleet.FakeTargets;
import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.id.VmId;
import dev.cactusspan.peer.NodeDirectory;
import dev.cactusspan.peer.NodeRecord;
import dev.cactusspan.peer.NodeSession;
import dev.cactusspan.result.Result;
import dev.cactusspan.routing.Backoff;
import dev.cactusspan.store.KeyStore;
import dev.cactusspan.store.ManualThread;
import dev.cactusspan.store.PrefixMirror;
import dev.cactusspan.store.StoredItem;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/** The duties of one process, with a fake store. */
final class DutyNode {
    static final long TURN_MS = 3_000;
    static final long WINDOW_MS = 5_000;

    /** A report as received by the platform. */
    record Report(String node, long window, Map<String, Long> counts, FencingNumber fencing) {}

    private static final long RECONNECT_MS = 4_000;

    private final ManualThread mThread;
    private final NodeDirectory mNodes = new NodeDirectory();
    private final NodeSession mSession;
    private final DutyHolder mUsageDuty;
    private final DutyHolder mWeightDuty;
    private final UsageReporter mUsage;
    private final WeightRollout mRollout;
    private final TargetTable mTargets = new TargetTable();
    private final FakeTargets mPort = new FakeTargets();
    private final PrefixMirror mMirror;
    private final long mHandoverDelayMs;
    private boolean mIsAlive = true;

    DutyNode(String name, KeyStore store, ManualThread thread, List<Report> reports) {
        this(name, 1, false, store, thread, reports);
    }

    DutyNode(
            String name,
            int boot,
            boolean isFencingChecked,
            KeyStore store,
            ManualThread thread,
            List<Report> reports) {
        this(name, boot, TURN_MS, isFencingChecked ? 0 : TURN_MS, store, thread, reports);
    }

    /** Creates the duties with the given waits of a former holder and of a new process. */
    DutyNode(
            String name,
            int boot,
            long handoverDelayMs,
            long bootWaitMs,
            KeyStore store,
            ManualThread thread,
            List<Report> reports) {
        mThread = thread;
        mHandoverDelayMs = handoverDelayMs;
        NodeRecord self =
                new NodeRecord(
                        VmId.of(name),
                        Integer.toString(boot),
                        AvailabilityZoneId.of("a"),
                        "10.0.0.1",
                        1,
                        false);
        mSession = new NodeSession(store, self, thread, backoff(), thread::nowMs);
        mUsageDuty = duty(store, "usage", bootWaitMs);
        mWeightDuty = duty(store, "weights", bootWaitMs);
        UsagePort port =
                (window, counts, holder, fencing) -> {
                    reports.add(new Report(name, window, counts, fencing));
                    return CompletableFuture.completedFuture(Result.of(UsagePort.Outcome.TAKEN));
                };
        mUsage =
                new UsageReporter(
                        store,
                        mUsageDuty,
                        mNodes,
                        self,
                        port,
                        WINDOW_MS,
                        thread,
                        thread::nowMs,
                        thread::nowMs);
        mRollout =
                new WeightRollout(
                        mWeightDuty, mTargets, mPort, VmId.of(name), thread, thread::nowMs);
        mMirror =
                new PrefixMirror(
                        store,
                        "cs/control/",
                        thread,
                        backoff(),
                        RECONNECT_MS,
                        thread::nowMs,
                        this::onControlKeyChanged);
    }

    private DutyHolder duty(KeyStore store, String name, long bootWaitMs) {
        return new DutyHolder(
                store,
                mSession,
                mNodes,
                name,
                mHandoverDelayMs,
                bootWaitMs,
                mThread,
                mThread::nowMs);
    }

    private static Backoff backoff() {
        return new Backoff(10, 50, new SplittableRandom(1));
    }

    private void onControlKeyChanged(String key, Optional<StoredItem> item) {
        if (key.startsWith(NodeDirectory.PREFIX)) {
            mNodes.changed(key, item);
        } else if (key.endsWith("/usage")) {
            mUsageDuty.onKeyChanged(item);
        } else if (key.endsWith("/weights")) {
            mWeightDuty.onKeyChanged(item);
        }
    }

    void tick() {
        if (!mIsAlive) {
            return;
        }
        mMirror.tick();
        mSession.tick();
        mUsageDuty.tick();
        mWeightDuty.tick();
        mUsage.tick();
        mRollout.tick();
        mThread.runAll();
    }

    void pause(boolean isPaused) {
        mIsAlive = !isPaused;
    }

    Optional<FencingNumber> usageFencing() {
        return mUsageDuty.fencing();
    }

    Optional<FencingNumber> weightFencing() {
        return mWeightDuty.fencing();
    }

    DutyHolder weightDuty() {
        return mWeightDuty;
    }

    NodeSession session() {
        return mSession;
    }

    UsageReporter usage() {
        return mUsage;
    }

    WeightRollout rollout() {
        return mRollout;
    }

    TargetTable targets() {
        return mTargets;
    }

    FakeTargets port() {
        return mPort;
    }

    static List<DutyNode> nodes(
            int count, KeyStore store, ManualThread thread, List<Report> reports) {
        List<DutyNode> nodes = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            nodes.add(new DutyNode("n" + i, store, thread, reports));
        }
        return nodes;
    }
}
