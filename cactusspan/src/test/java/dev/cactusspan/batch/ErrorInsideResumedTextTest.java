package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.fleet.FakeTargets;
import dev.cactusspan.id.BatchId;
import dev.cactusspan.store.FakeKeyStore;
import dev.cactusspan.store.ManualThread;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** A text that broke off was listed as whole after the next target answered with an error. */
final class ErrorInsideResumedTextTest {
    private static final BatchId ID = BatchId.of("b");
    private static final long TICK_MS = 10;

    private final ManualThread mThread = new ManualThread();
    private final FakeKeyStore mStore = new FakeKeyStore(mThread);
    private final BatchNode mNode = new BatchNode("n1", mStore, mThread);

    private void run(long ms) {
        for (long i = 0; i < ms; i += TICK_MS) {
            mThread.advance(TICK_MS);
            mStore.step();
            mThread.runAll();
            mNode.tick();
        }
    }

    /** Breaks a text off after two events, and has the next target respond as given. */
    private void assertWholeAfter(Consumer<FakeTargets.Sent> next) {
        run(100);
        mNode.manager().submit(BatchNode.batch(ID.value(), 1, 1, mThread.nowMs()), r -> {});
        run(50);
        mNode.respondToAll(
                sent -> {
                    sent.startStream(BatchNode.MIN_VERSION);
                    sent.events(2);
                    sent.disconnect();
                });
        run(100);
        mNode.respondToAll(next);
        for (int i = 0; i < 200; i++) {
            run(TICK_MS);
            mNode.respondToAll(BatchNode::succeed);
        }
        assertThat(new BatchStore(mStore).load(ID).join().get().results(), hasSize(1));
        assertThat(
                new BatchStore(mStore).load(ID).join().get().results().get(0).text(),
                is("t1\nt2\nt3"));
    }

    private static void respond(FakeTargets.Sent sent, int status, String digest, String body) {
        sent.respondWithoutEvents(status, BatchNode.MIN_VERSION, digest, body);
    }

    @Test
    void shouldNotTakeAnEmptyResponseForTheEndOfTheText() {
        assertWholeAfter(sent -> respond(sent, 200, "", ""));
    }

    @Test
    void shouldNotTakeAnEmptyResponseWithADigestForTheEndOfTheText() {
        assertWholeAfter(sent -> respond(sent, 200, "stamp", ""));
    }

    @Test
    void shouldNotTakeAnErrorPageForTheRestOfTheText() {
        assertWholeAfter(sent -> respond(sent, 200, "", "3|error"));
    }

    @Test
    void shouldNotTakeTheBodyOfAFailureForTheRestOfTheText() {
        assertWholeAfter(sent -> respond(sent, 502, "", "3|error"));
    }

    @Test
    void shouldNotTakeAnEventStreamWithoutADigestForTheRestOfTheText() {
        assertWholeAfter(
                sent -> {
                    sent.startStreamWithoutDigest(BatchNode.MIN_VERSION);
                    sent.end();
                });
    }
}
