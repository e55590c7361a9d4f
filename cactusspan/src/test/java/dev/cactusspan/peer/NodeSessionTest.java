package dev.cactusspan.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.routing.Backoff;
import dev.cactusspan.store.FakeKeyStore;
import dev.cactusspan.store.ManualThread;
import dev.cactusspan.text.JsonText;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the registration of a process around its stop. */
final class NodeSessionTest {
    private static final long TICK_MS = 20;

    private final ManualThread mThread = new ManualThread();
    private final FakeKeyStore mStore = new FakeKeyStore(mThread);
    private final NodeSession mSession =
            new NodeSession(
                    mStore,
                    new NodeRecord(
                            VmId.of("vm"), "1", AvailabilityZoneId.of("a"), "10.0.0.1", 1, false),
                    mThread,
                    new Backoff(10, 100, new SplittableRandom(1)),
                    mThread::nowMs);

    private void run(long ms) {
        for (long i = 0; i < ms; i += TICK_MS) {
            mThread.advance(TICK_MS);
            mStore.step();
            mSession.tick();
            mThread.runAll();
        }
    }

    private boolean isLeavingInStore() {
        byte[] value = mStore.items().get(NodeDirectory.PREFIX + "vm").value();
        return JsonText.read(value, NodeRecord.class).get().isLeaving();
    }

    /**
     * Guards against a process that is chosen for new work until it ends: the reply to its first
     * registration passed for that to the one that says that it leaves.
     */
    @Test
    void shouldSayThatItLeavesWhenItStopsDuringItsRegistration() {
        mSession.tick();
        mThread.runAll();
        mThread.advance(TICK_MS);
        mSession.tick();
        mSession.leave();
        run(3_000);
        assertThat(isLeavingInStore(), is(true));
    }
}
