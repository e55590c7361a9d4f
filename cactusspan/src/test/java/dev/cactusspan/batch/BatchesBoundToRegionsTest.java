package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.fleet.FakeTargets;
import dev.cactusspan.id.RegionId;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Batches whose routes are bound to regions: their items, scores and owners. */
final class BatchesBoundToRegionsTest extends BatchFixture {
    private static final Set<RegionId> IN_A = Set.of(RegionId.of("ra"));
    private static final Set<RegionId> IN_B = Set.of(RegionId.of("rb"));

    private BatchNode nodeIn(String zone, String name) {
        BatchNode node = new BatchNode(name, zone, mStore, mThread);
        mNodes.add(node);
        return node;
    }

    private static void addTargetsInB(BatchNode node) {
        node.putTarget(
                FakeTargets.inZone(
                        "b", FakeTargets.record("lm-b", "lm", 4, BatchNode.MIN_VERSION)));
        node.putTarget(FakeTargets.inZone("b", FakeTargets.record("app-b", "app", 8, 0)));
    }

    private static List<String> zones(BatchNode node, String prefix) {
        return node.port().sent().stream()
                .filter(s -> s.request().id().startsWith(prefix))
                .map(s -> s.target().zone().value())
                .toList();
    }

    @Test
    void shouldRunItemsAndScoresOnlyInTheRegionsOfTheirRoutes() {
        BatchNode node = node("n1");
        addTargetsInB(node);
        node.bind(IN_B, IN_A);
        run(100);
        node.manager().submit(BatchNode.batch(ID.value(), 1, 4, mThread.nowMs()), r -> {});
        runWithResponses(1_000);
        assertThat(stored(), hasSize(4));
        assertThat(zones(node, "b-"), everyItem(is("b")));
        assertThat(zones(node, "s-"), everyItem(is("a")));
    }

    @Test
    void shouldRefuseABatchWithoutATargetInItsRegions() {
        BatchNode node = node("n1");
        node.bind(IN_B, Set.of());
        run(100);
        List<Result<Boolean>> outcomes = new ArrayList<>();
        node.manager().submit(BatchNode.batch(ID.value(), 1, 1, mThread.nowMs()), outcomes::add);
        mThread.runAll();
        Failure failure = outcomes.get(0).fold(f -> f, v -> Failure.of(ErrorKind.INTERNAL, ""));
        assertThat(failure.kind(), is(ErrorKind.NO_TARGET_IN_REGION));
        assertThat(failure.isNotRun(), is(true));
    }

    @Test
    void shouldFollowAChangeOfRegionsWhileItemsWait() {
        BatchNode node = node("n1");
        addTargetsInB(node);
        node.bind(IN_A, Set.of());
        run(100);
        node.manager().submit(BatchNode.batch(ID.value(), 1, 1, mThread.nowMs()), r -> {});
        run(50);
        node.bind(IN_B, Set.of());
        node.respondToAll(FakeTargets.Sent::disconnect);
        run(300);
        assertThat(zones(node, "b-"), is(List.of("a", "b")));
    }

    @Test
    void shouldBeTakenOverOnlyInItsRegions() {
        BatchNode owner = nodeIn("b", "owner");
        addTargetsInB(owner);
        owner.bind(IN_B, Set.of());
        List<BatchNode> others = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            BatchNode other = nodeIn("a", "other-" + i);
            other.bind(IN_B, Set.of());
            addTargetsInB(other);
            others.add(other);
        }
        run(100);
        owner.manager().submit(BatchNode.batch(ID.value(), 1, 1, mThread.nowMs()), r -> {});
        run(100);
        owner.kill();
        run(3_000);
        for (BatchNode other : others) {
            assertThat(other.manager().openBatches(), is(0));
        }
        BatchNode next = nodeIn("b", "next");
        next.bind(IN_B, Set.of());
        addTargetsInB(next);
        run(1_000);
        assertThat(next.manager().openBatches(), is(1));
        runWithResponses(1_000);
        assertThat(stored(), hasSize(1));
    }

    @Test
    void shouldForgetABatchWhoseOwnerKeyIsRemovedWhileItIsLoaded() {
        BatchNode node = node("n1");
        run(100);
        Batch unwritten = BatchNode.batch("unwritten", 1, 1, mThread.nowMs());
        String key = BatchStore.OWNER_PREFIX + "unwritten";
        mStore.put(key, JsonText.write(BatchOwnership.of(unwritten, node.owner())));
        run(500);
        mStore.delete(key);
        run(2_000);
        assertThat(node.manager().findOwnership(unwritten.id()).isPresent(), is(false));
    }
}
