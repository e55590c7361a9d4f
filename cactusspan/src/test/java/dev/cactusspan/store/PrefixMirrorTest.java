package dev.cactusspan.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.routing.Backoff;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests mirrors with outages, lost history, and pages that change while they are read. */
final class PrefixMirrorTest {
    private static final long RECONNECT_MS = 4_000;

    private final ManualThread mThread = new ManualThread();
    private final FakeKeyStore mStore = new FakeKeyStore(mThread);
    private final Map<String, Long> mMirrored = new HashMap<>();
    private String mOddKey = "";
    private final PrefixMirror mMirror =
            new PrefixMirror(
                    mStore,
                    "a/",
                    mThread,
                    new Backoff(10, 100, new SplittableRandom(1)),
                    RECONNECT_MS,
                    mThread::nowMs,
                    this::changed);

    private void changed(String key, Optional<StoredItem> item) {
        if (key.equals(mOddKey)) {
            throw new IllegalArgumentException("odd item");
        }
        item.ifPresentOrElse(
                i -> {
                    assertThat(i.revision() > mMirrored.getOrDefault(key, 0L), is(true));
                    mMirrored.put(key, i.revision());
                },
                () -> mMirrored.remove(key));
    }

    private void run(long ms) {
        for (long i = 0; i < ms; i += 10) {
            mThread.advance(10);
            mStore.step();
            mMirror.tick();
            mThread.runAll();
        }
    }

    private Map<String, Long> stored() {
        Map<String, Long> stored = new TreeMap<>();
        mStore.items()
                .forEach(
                        (key, item) -> {
                            if (key.startsWith("a/")) {
                                stored.put(key, item.revision());
                            }
                        });
        return stored;
    }

    @Test
    void shouldMirrorAllPages() {
        for (int i = 0; i < 10; i++) {
            mStore.put("a/" + i, new byte[0]);
        }
        mStore.put("b/1", new byte[0]);
        run(200);
        assertThat(new TreeMap<>(mMirrored), is(stored()));
        assertThat(mMirror.isLoaded(), is(true));
    }

    /** Guards against one odd item that keeps the process from the items behind it. */
    @Test
    void shouldFollowTheItemsBehindOneThatItsListenerCannotTake() {
        mOddKey = "a/3";
        for (int i = 0; i < 10; i++) {
            mStore.put("a/" + i, new byte[0]);
        }
        run(200);
        assertThat(mMirrored.size(), is(9));
        assertThat(mMirror.isHealthy(), is(true));
        mStore.put("a/3", new byte[0]);
        mStore.put("a/4", new byte[0]);
        mStore.put("a/10", new byte[0]);
        run(4_000);
        mOddKey = "";
        assertThat(mMirrored.size(), is(10));
        assertThat(mMirrored.get("a/4"), is(stored().get("a/4")));
    }

    @Test
    void shouldListAgainWhenTheHistoryIsLost() {
        mStore.put("a/1", new byte[0]);
        run(200);
        mStore.setDown(true);
        run(5_000);
        mStore.put("a/2", new byte[0]);
        mStore.delete("a/1");
        mStore.dropHistory();
        mStore.setDown(false);
        run(2_000);
        assertThat(new TreeMap<>(mMirrored), is(stored()));
    }

    @Test
    void shouldListAgainAtOnceAfterAnInterruptedWatch() {
        mStore.put("a/1", new byte[0]);
        run(500);
        mStore.hangWatchesOnLostHistory();
        mStore.put("b/1", new byte[0]);
        mStore.dropHistory();
        mStore.put("a/2", new byte[0]);
        run(500);
        assertThat(new TreeMap<>(mMirrored), is(stored()));
    }

    @Test
    void shouldReadAtOnceWhenChangesAreNoLongerGathered() {
        mMirror.setGatherMs(2_000);
        mStore.put("a/1", new byte[0]);
        run(200);
        mStore.put("a/2", new byte[0]);
        run(100);
        mStore.put("a/3", new byte[0]);
        run(500);
        assertThat(mMirrored.containsKey("a/3"), is(false));
        mMirror.setGatherMs(100);
        run(100);
        assertThat(mMirrored.containsKey("a/3"), is(true));
    }

    /**
     * A process that is cut off from the store but reaches it through another one must not wait for
     * watches that hang: its batches would keep to targets that they know from before the cut.
     */
    @Test
    void shouldListAtIntervalsWhileTheStoreIsReachedThroughOthers() {
        mStore.put("a/1", new byte[0]);
        run(500);
        mStore.setDirect(false);
        run(4_000);
        for (int i = 2; i < 8; i++) {
            mStore.put("a/" + i, new byte[0]);
            run(700);
            assertThat(new TreeMap<>(mMirrored), is(stored()));
        }
        int callsBefore = mStore.calls();
        run(5_000);
        assertThat(mStore.calls() - callsBefore <= 30, is(true));
        mStore.setDirect(true);
        run(1_000);
        int callsAfter = mStore.calls();
        run(5_000);
        assertThat(mStore.calls() - callsAfter <= 3, is(true));
    }

    /** A watch that hangs after an outage must end, with slack and back-off, within 4 s. */
    @Test
    void shouldLimitTheWaitOfAWatch() {
        long slackMs = 800;
        long backoffMs = 600;
        mStore.put("a/1", new byte[0]);
        run(10_000);
        assertThat(mStore.longestWaitMs() <= RECONNECT_MS - slackMs - backoffMs, is(true));
    }

    /** A quiet store must not make a process stop. */
    @Test
    void shouldKnowThatNothingChangedWhileItsWatchWaits() {
        mStore.put("a/1", new byte[0]);
        run(500);
        for (int i = 0; i < 100; i++) {
            run(100);
            mMirror.recordReadThrough(mThread.nowMs());
        }
        assertThat(mThread.nowMs() - mMirror.knownMs() <= 800, is(true));
    }

    /** Without processor time to read what arrived, a watch that waits proves nothing. */
    @Test
    void shouldNotKnowWhatIsUnread() {
        mStore.put("a/1", new byte[0]);
        run(1_000);
        mMirror.recordReadThrough(mThread.nowMs());
        long knownMs = mMirror.knownMs();
        mThread.advance(2_000);
        assertThat(mMirror.knownMs(), is(knownMs));
    }

    @Test
    void shouldNotKnowMoreThroughAnOutage() {
        mStore.put("a/1", new byte[0]);
        run(500);
        mStore.setDown(true);
        run(6_000);
        long knownMs = mMirror.knownMs();
        for (int i = 0; i < 50; i++) {
            run(100);
            mMirror.recordReadThrough(mThread.nowMs());
        }
        assertThat(mMirror.knownMs(), is(knownMs));
        mStore.setDown(false);
        run(1_000);
        assertThat(mMirror.knownMs() > knownMs, is(true));
    }

    /** A change that the watch has not seen yet is not known before a response had time to come. */
    @Test
    void shouldNotKnowTheTimeRightAfterAWatchBegan() {
        mStore.put("a/1", new byte[0]);
        run(20);
        long startedMs = mThread.nowMs();
        mMirror.tick();
        mMirror.recordReadThrough(startedMs + 100);
        assertThat(mMirror.knownMs() <= startedMs, is(true));
    }

    @Property(seed = "31", tries = 100)
    void shouldConvergeToTheStoreAndNeverRevert(@ForAll long seed) {
        Random random = new Random(seed);
        mMirrored.clear();
        PrefixMirrorTest fresh = new PrefixMirrorTest();
        fresh.runRandomChanges(random);
    }

    private void runRandomChanges(Random random) {
        mStore.setFaults(random, 0, 0.2);
        for (int i = 0; i < 60; i++) {
            String key = "a/" + random.nextInt(12);
            if (random.nextInt(4) == 0) {
                mStore.delete(key);
            } else {
                mStore.put(key, new byte[0]);
            }
            if (random.nextInt(15) == 0) {
                mStore.dropHistory();
            }
            run(random.nextInt(200));
        }
        mStore.setFaults(random, 0, 0);
        run(10_000);
        assertThat(new TreeMap<>(mMirrored), is(stored()));
    }
}
