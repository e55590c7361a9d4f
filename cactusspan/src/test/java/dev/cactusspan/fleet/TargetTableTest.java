package dev.cactusspan.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.region.Residency;
import dev.cactusspan.routing.ZoneDistance;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Targets that leave, lose their entry in a store outage, or restart. */
final class TargetTableTest {
    private static final ServiceId APP = ServiceId.of("app");
    private static final TargetId T1 = TargetId.of("t1");

    private final TargetTable mTable = new TargetTable();

    private List<TargetState> serving() {
        return mTable.serving(APP, Residency.ANYWHERE, 0, t -> true);
    }

    @Test
    void shouldRemoveATargetThatLeftAtOnce() {
        mTable.put(FakeTargets.record("t1", "app", 4, 0));
        mTable.remove(T1, 0, true);
        assertThat(serving(), is(empty()));
    }

    @Test
    void shouldKeepATargetForAWhileAfterAStoreOutage() {
        mTable.put(FakeTargets.record("t1", "app", 4, 0));
        mTable.remove(T1, 0, false);
        mTable.tick(2_000);
        assertThat(serving(), hasSize(1));
        mTable.tick(2_300);
        assertThat(serving(), is(empty()));
    }

    @Test
    void shouldKeepATargetThatRegistersAgain() {
        mTable.put(FakeTargets.record("t1", "app", 4, 0));
        mTable.remove(T1, 0, false);
        mTable.put(FakeTargets.record("t1", "app", 4, 0));
        mTable.tick(9_000);
        assertThat(serving(), hasSize(1));
    }

    @Test
    void shouldResetTheStateOfARestartedTarget() {
        mTable.put(FakeTargets.record("t1", "app", 4, 0));
        mTable.find(T1).orElseThrow().recordSent(0);
        TargetRecord first = FakeTargets.record("t1", "app", 4, 0);
        mTable.put(
                new TargetRecord(
                        first.id(),
                        first.service(),
                        first.software(),
                        first.address(),
                        first.zone(),
                        4,
                        false,
                        0,
                        2,
                        first.versions()));
        assertThat(mTable.find(T1).orElseThrow().inFlight(), is(0));
    }

    @Test
    void shouldChooseTheLessLoadedAndAvoidTheFailedTarget() {
        TargetChooser chooser =
                new TargetChooser(zone -> ZoneDistance.SAME_ZONE, new SplittableRandom(1));
        mTable.put(FakeTargets.record("t1", "app", 4, 0));
        mTable.put(FakeTargets.record("t2", "app", 4, 0));
        mTable.find(T1).orElseThrow().recordSent(0);
        assertThat(chooser.choose(serving(), 0).orElseThrow().record().id(), is(TargetId.of("t2")));
        mTable.find(TargetId.of("t2")).orElseThrow().recordFailure(0);
        assertThat(chooser.choose(serving(), 10).orElseThrow().record().id(), is(T1));
    }

    @Test
    void shouldPreferTheFasterTarget() {
        TargetChooser chooser =
                new TargetChooser(zone -> ZoneDistance.SAME_ZONE, new SplittableRandom(1));
        mTable.put(FakeTargets.record("t1", "app", 4, 0));
        mTable.put(FakeTargets.record("t2", "app", 4, 0));
        mTable.find(T1).orElseThrow().recordDuration(120);
        mTable.find(TargetId.of("t2")).orElseThrow().recordDuration(40);
        assertThat(chooser.choose(serving(), 0).orElseThrow().record().id(), is(TargetId.of("t2")));
    }
}
