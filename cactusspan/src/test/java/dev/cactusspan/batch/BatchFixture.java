package dev.cactusspan.batch;

import dev.cactusspan.id.BatchId;
import dev.cactusspan.region.Residency;
import dev.cactusspan.result.Result;
import dev.cactusspan.store.FakeKeyStore;
import dev.cactusspan.store.ManualThread;
import java.util.ArrayList;
import java.util.List;

/** Processes that share a store, and whose clock a test controls. */
abstract class BatchFixture {
    static final BatchId ID = BatchId.of("b");
    static final long TICK_MS = 10;

    final ManualThread mThread = new ManualThread();
    final FakeKeyStore mStore = new FakeKeyStore(mThread);
    final List<BatchNode> mNodes = new ArrayList<>();

    BatchNode node(String name) {
        BatchNode node = new BatchNode(name, mStore, mThread);
        mNodes.add(node);
        return node;
    }

    void run(long ms) {
        for (long i = 0; i < ms; i += TICK_MS) {
            mThread.advance(TICK_MS);
            mStore.step();
            mThread.runAll();
            mNodes.forEach(BatchNode::tick);
        }
    }

    void runWithResponses(long ms) {
        for (long i = 0; i < ms; i += TICK_MS) {
            run(TICK_MS);
            mNodes.stream()
                    .filter(BatchNode::isAlive)
                    .forEach(n -> n.respondToAll(BatchNode::succeed));
        }
    }

    /** Starts a node with a batch of one item, which has been sent to a target. */
    BatchNode startWithOneRun() {
        BatchNode node = node("n1");
        run(100);
        node.manager().submit(BatchNode.batch(ID.value(), 1, 1, mThread.nowMs()), r -> {});
        mThread.runAll();
        run(50);
        return node;
    }

    List<ItemResult> stored() {
        return new BatchStore(mStore).load(ID, Residency.ANYWHERE).join().get().results();
    }

    /** Submits a batch and returns where its outcome is put. */
    List<Result<Boolean>> submit(BatchNode node, int groups, int size) {
        List<Result<Boolean>> outcomes = new ArrayList<>();
        node.manager()
                .submit(BatchNode.batch(ID.value(), groups, size, mThread.nowMs()), outcomes::add);
        mThread.runAll();
        return outcomes;
    }
}
