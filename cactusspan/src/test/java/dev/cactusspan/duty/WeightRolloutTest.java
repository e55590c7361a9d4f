package dev.cactusspan.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.fleet.FakeTargets;
import dev.cactusspan.fleet.TargetLoad;
import dev.cactusspan.fleet.TargetPort;
import dev.cactusspan.fleet.TargetRecord;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.result.Result;
import dev.cactusspan.store.FakeKeyStore;
import dev.cactusspan.store.ManualThread;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests orders to targets: a few at a time, when targets are idle, and repeated when they have no
 * visible effect.
 */
final class WeightRolloutTest {
    private static final ModelId MODEL = ModelId.of("m");
    private static final long TICK_MS = 20;

    private final ManualThread mThread = new ManualThread();
    private final FakeKeyStore mStore = new FakeKeyStore(mThread);
    private final DutyNode mNode = new DutyNode("n1", mStore, mThread, new ArrayList<>());

    private void run(long ms) {
        for (long i = 0; i < ms; i += TICK_MS) {
            mThread.advance(TICK_MS);
            mStore.step();
            mThread.runAll();
            mNode.tick();
        }
    }

    private void start(int targets) {
        run(6_000);
        for (int i = 0; i < targets; i++) {
            mNode.targets().put(FakeTargets.record("t" + i, "lm", 4, 1));
        }
    }

    private void reportVersion(String id, long version) {
        TargetRecord record = FakeTargets.record(id, "lm", 4, version);
        mNode.targets().put(record);
        mNode.rollout().onTargetRecord(record);
    }

    private void setDesiredVersion(long version) {
        mNode.rollout().setDesiredVersion(MODEL, WeightVersion.of(version));
    }

    @Test
    void shouldUpdateIdleTargetsAFewAtATime() {
        start(6);
        setDesiredVersion(2);
        run(600);
        assertThat(mNode.port().orders(), hasSize(2));
        for (FakeTargets.Order order : new ArrayList<>(mNode.port().orders())) {
            reportVersion(order.target().value(), 2);
        }
        run(600);
        assertThat(mNode.port().orders(), hasSize(4));
    }

    @Test
    void shouldSendNoOrderToAnEvacuatedZone() {
        start(2);
        mNode.targets().put(FakeTargets.inZone("b", FakeTargets.record("z-b", "lm", 4, 1)));
        mNode.targets().evacuate(AvailabilityZoneId.of("a"));
        setDesiredVersion(2);
        run(2_000);
        assertThat(mNode.port().orders(), hasSize(1));
        assertThat(mNode.port().orders().get(0).target().value(), is("z-b"));
        TargetRecord updated = FakeTargets.inZone("b", FakeTargets.record("z-b", "lm", 4, 2));
        mNode.targets().put(updated);
        mNode.rollout().onTargetRecord(updated);
        mNode.targets().takeBack(AvailabilityZoneId.of("a"), mThread.nowMs());
        run(2_000);
        assertThat(mNode.port().orders().size() > 1, is(true));
    }

    @Test
    void shouldUpdateBusyTargetAfterMaxWait() {
        start(2);
        mNode.port().load(new TargetLoad(3, 0, 0, false));
        setDesiredVersion(2);
        run(800);
        assertThat(mNode.port().orders(), is(empty()));
        run(500);
        assertThat(mNode.port().orders(), hasSize(1));
        reportVersion(mNode.port().orders().get(0).target().value(), 2);
        run(500);
        assertThat(mNode.port().orders(), hasSize(2));
    }

    @Test
    void shouldUpdateTargetThatIsFurtherBehindImmediately() {
        start(2);
        mNode.port().load(new TargetLoad(3, 0, 0, false));
        setDesiredVersion(3);
        run(100);
        assertThat(mNode.port().orders(), hasSize(2));
    }

    @Test
    void shouldRepeatOrderWithoutVisibleEffect() {
        start(1);
        mNode.port().loseOrders();
        setDesiredVersion(2);
        run(10_000);
        Set<WeightVersion> versions = new HashSet<>();
        mNode.port().orders().forEach(o -> versions.add(o.version()));
        assertThat(mNode.port().orders().size() > 1, is(true));
        assertThat(versions, hasSize(1));
    }

    @Test
    void shouldStopAfterFencingNumberIsRefused() {
        start(1);
        mNode.port().orderOutcome(Result.of(TargetPort.OrderOutcome.FENCED));
        setDesiredVersion(3);
        run(100);
        assertThat(mNode.port().orders(), hasSize(1));
        run(100);
        assertThat(mNode.port().orders(), hasSize(1));
    }

    @Test
    void shouldSendNumberOfOrdersThatTargetHasAccepted() {
        start(1);
        mNode.port().load(new TargetLoad(0, 0, 7, false));
        setDesiredVersion(2);
        run(700);
        assertThat(mNode.port().orders().get(0).expectedOrders(), is(7L));
    }

    @Test
    void shouldNotSendOrderToTargetThatExecutesOne() {
        start(1);
        mNode.port().load(new TargetLoad(0, 0, 7, true));
        setDesiredVersion(2);
        run(1_000);
        assertThat(mNode.port().orders(), is(empty()));
    }

    @Test
    void shouldDelayOrderToIdleTargetAfterNewVersion() {
        start(2);
        setDesiredVersion(2);
        run(200);
        // A step may start right after its version is announced, and needs its idle targets.
        assertThat(mNode.port().orders(), is(empty()));
    }
}
