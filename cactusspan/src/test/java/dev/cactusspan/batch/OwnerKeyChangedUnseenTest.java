package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.peer.NodeDirectory;
import dev.cactusspan.text.JsonText;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against items that run again at an owner that learns only by a refused append that its
 * batch was ended or taken over.
 */
final class OwnerKeyChangedUnseenTest extends BatchFixture {
    private static final int ITEMS = 4;

    private final BatchNode mOwner = node("n1");

    private final BatchNode mOther = node("n2");

    /** Starts a batch whose items run, at an owner that does not follow the owner keys just now. */
    private void startUnseeing() {
        run(100);
        submit(mOwner, ITEMS, 1);
        run(300);
        assertThat(mOwner.port().sent(), hasSize(ITEMS));
        mOwner.manager().submit(BatchNode.batch("another", 1, 1, mThread.nowMs()), accepted -> {});
        mThread.runAll();
        run(TICK_MS * 2);
    }

    private List<String> sentOfBatch(BatchNode node) {
        List<String> sent = new ArrayList<>();
        node.port().sent().forEach(s -> sent.add(s.request().id()));
        sent.removeIf(id -> !id.contains(ID.value() + "-"));
        return sent;
    }

    /** Has the first item finish, so that the owner appends its result. */
    private void finishFirst() {
        BatchNode.succeed(mOwner.port().sent().get(0));
        mThread.runAll();
        run(TICK_MS);
        BatchNode.succeed(mOwner.port().sent().get(mOwner.port().sent().size() - 1));
        mThread.runAll();
    }

    @Test
    void shouldSendNothingOfABatchThatWasEndedElsewhere() {
        startUnseeing();
        finishFirst();
        mOther.manager().end(ID, ended -> {});
        mThread.runAll();
        int sends = sentOfBatch(mOwner).size();
        run(1_000);
        assertThat(sentOfBatch(mOwner), hasSize(sends));
        assertThat(stored(), hasSize(0));
    }

    @Test
    void shouldSendNothingOfABatchThatWasTakenOver() {
        startUnseeing();
        finishFirst();
        mStore.delete(NodeDirectory.PREFIX + "n1");
        mStore.put(
                BatchStore.OWNER_PREFIX + ID.value(),
                JsonText.write(
                        BatchOwnership.of(
                                BatchNode.batch(ID.value(), ITEMS, 1, 0), mOther.owner())));
        int sends = sentOfBatch(mOwner).size();
        run(TICK_MS * 8);
        assertThat(sentOfBatch(mOwner), hasSize(sends));
        assertThat(mOwner.manager().hasBegun(ID), is(false));
    }
}
