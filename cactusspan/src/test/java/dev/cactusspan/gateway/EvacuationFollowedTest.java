package dev.cactusspan.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.peer.NodeDirectory;
import dev.cactusspan.routing.Backoff;
import dev.cactusspan.store.FakeKeyStore;
import dev.cactusspan.store.ManualThread;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Evacuations that a process follows through failures of the store. */
final class EvacuationFollowedTest {
    private static final AvailabilityZoneId ZONE = AvailabilityZoneId.of("a");
    private static final String KEY = "op/evacuate/a";
    private static final long TICK_MS = 10;
    private static final FollowTimes TIMES = new FollowTimes(5_000, 4_000, 5_000);

    private final ManualThread mThread = new ManualThread();
    private final FakeKeyStore mStore = new FakeKeyStore(mThread);
    private final FleetView mFleet = view(TIMES);

    private FleetView view(FollowTimes times) {
        return new FleetView(
                mStore,
                new NodeDirectory(),
                new TargetTable(),
                mThread,
                () -> new Backoff(60, 600, new SplittableRandom(1)),
                times,
                1.5,
                mThread::nowMs);
    }

    private void run(FleetView fleet, long ms) {
        for (long i = 0; i < ms; i += TICK_MS) {
            mThread.advance(TICK_MS);
            mStore.step();
            mThread.runAll();
            fleet.tick(false, false, 0, 0);
            mThread.runAll();
        }
    }

    private void evacuate() {
        mStore.put(KEY, "{}".getBytes(StandardCharsets.UTF_8));
    }

    private boolean isEvacuated() {
        return mFleet.targets().isRegionEvacuatedAt(ZONE);
    }

    @Test
    void shouldFollowAnEvacuationAndItsEnd() {
        run(mFleet, 500);
        evacuate();
        run(mFleet, 500);
        assertThat(isEvacuated(), is(true));
        mStore.delete(KEY);
        run(mFleet, 500);
        assertThat(isEvacuated(), is(false));
    }

    @Test
    void shouldKnowAtItsStartWhatIsEvacuated() {
        evacuate();
        run(mFleet, 500);
        assertThat(isEvacuated(), is(true));
    }

    @Test
    void shouldKeepAnEvacuationWhileTheStoreIsAway() {
        evacuate();
        run(mFleet, 500);
        mStore.setDown(true);
        mStore.dropHistory();
        run(mFleet, 8_000);
        assertThat(isEvacuated(), is(true));
    }

    @Test
    void shouldLearnAfterAnOutageWhatHappenedMeanwhile() {
        evacuate();
        run(mFleet, 500);
        mStore.setDown(true);
        mStore.delete(KEY);
        mStore.dropHistory();
        run(mFleet, 3_000);
        mStore.setDown(false);
        run(mFleet, 2_000);
        assertThat(isEvacuated(), is(false));
    }

    /** Evacuations must be known in time even if a watch hangs, as one does after a cut. */
    @Property(seed = "3102", tries = 200)
    void shouldKnowTheLatestStateInTime(@ForAll long seed) {
        Random random = new Random(seed);
        run(mFleet, 500);
        for (int i = 0; i < 6; i++) {
            if (random.nextBoolean()) {
                evacuate();
            } else {
                mStore.delete(KEY);
            }
            if (random.nextInt(3) == 0) {
                mStore.dropHistory();
            }
            if (random.nextInt(4) == 0) {
                mStore.setDown(true);
                run(mFleet, random.nextInt(4_000));
                mStore.setDown(false);
            }
            run(mFleet, 4_900);
            assertThat(isEvacuated(), is(mStore.items().containsKey(KEY)));
        }
    }

    @Test
    void shouldNotAskWhereZonesAreNeverEvacuated() {
        FleetView fleet = view(new FollowTimes(5_000, 4_000, 0));
        evacuate();
        run(fleet, 1_000);
        assertThat(fleet.targets().isRegionEvacuatedAt(ZONE), is(false));
    }
}
