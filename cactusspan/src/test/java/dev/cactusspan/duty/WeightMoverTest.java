package dev.cactusspan.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.fleet.FakeTargets;
import dev.cactusspan.fleet.TargetLoad;
import dev.cactusspan.fleet.TargetPort;
import dev.cactusspan.fleet.TargetRecord;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.result.Result;
import dev.cactusspan.store.FakeKeyStore;
import dev.cactusspan.store.ManualThread;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Orders to targets: few at a time, when idle, and again when their effect does not show. */
final class WeightMoverTest {
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

    private void loaded(String id, long version) {
        TargetRecord record = FakeTargets.record(id, "lm", 4, version);
        mNode.targets().put(record);
        mNode.weights().seen(record);
    }

    private void name(long version) {
        mNode.weights().named(MODEL, WeightVersion.of(version));
    }

    @Test
    void shouldMoveIdleTargetsAFewAtATime() {
        start(6);
        name(2);
        run(600);
        assertThat(mNode.port().orders(), hasSize(2));
        for (FakeTargets.Order order : new ArrayList<>(mNode.port().orders())) {
            loaded(order.target().value(), 2);
        }
        run(600);
        assertThat(mNode.port().orders(), hasSize(4));
    }

    @Test
    void shouldWaitForABusyTargetOnlyForAWhile() {
        start(2);
        mNode.port().load(new TargetLoad(3, 0, 0, false));
        name(2);
        run(1_800);
        assertThat(mNode.port().orders(), is(empty()));
        run(600);
        assertThat(mNode.port().orders(), hasSize(1));
        loaded(mNode.port().orders().get(0).target().value(), 2);
        run(500);
        assertThat(mNode.port().orders(), hasSize(2));
    }

    @Test
    void shouldMoveATargetThatIsFurtherBehindAtOnce() {
        start(2);
        mNode.port().load(new TargetLoad(3, 0, 0, false));
        name(3);
        run(100);
        assertThat(mNode.port().orders(), hasSize(2));
    }

    @Test
    void shouldOrderAgainWhenTheEffectDoesNotShow() {
        start(1);
        mNode.port().loseOrders();
        name(2);
        run(10_000);
        Set<WeightVersion> versions = new HashSet<>();
        mNode.port().orders().forEach(o -> versions.add(o.version()));
        assertThat(mNode.port().orders().size() > 1, is(true));
        assertThat(versions, hasSize(1));
    }

    @Test
    void shouldStopUnderANumberThatWasRefused() {
        start(1);
        mNode.port().orderOutcome(Result.of(TargetPort.OrderOutcome.FENCED));
        name(3);
        run(100);
        assertThat(mNode.port().orders(), hasSize(1));
        run(100);
        assertThat(mNode.port().orders(), hasSize(1));
    }

    @Test
    void shouldNameTheOrdersThatTheTargetHasAccepted() {
        start(1);
        mNode.port().load(new TargetLoad(0, 0, 7, false));
        name(2);
        run(700);
        assertThat(mNode.port().orders().get(0).expectedOrders(), is(7L));
    }

    @Test
    void shouldNotOrderATargetThatCarriesOutAnOrder() {
        start(1);
        mNode.port().load(new TargetLoad(0, 0, 7, true));
        name(2);
        run(1_000);
        assertThat(mNode.port().orders(), is(empty()));
    }

    @Test
    void shouldLeaveAnIdleTargetToAStepThatFollowsItsVersion() {
        start(2);
        name(2);
        run(200);
        assertThat(mNode.port().orders(), is(empty()));
    }
}
