package dev.cactusspan.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.RegionId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.region.RegionMap;
import dev.cactusspan.region.Residency;
import dev.cactusspan.routing.ZoneDistance;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Targets in zones that operators evacuate and take back. */
final class EvacuationTest {
    private static final ServiceId APP = ServiceId.of("app");
    private static final AvailabilityZoneId A1 = AvailabilityZoneId.of("a1");
    private static final AvailabilityZoneId A2 = AvailabilityZoneId.of("a2");
    private static final AvailabilityZoneId B1 = AvailabilityZoneId.of("b1");
    private static final int SLOTS = 6;

    private final RegionMap mRegions =
            RegionMap.of(
                    Map.of(A1, RegionId.of("ra"), A2, RegionId.of("ra"), B1, RegionId.of("rb")));
    private final TargetTable mTable = new TargetTable(mRegions);

    EvacuationTest() {
        put("t-a1", "a1");
        put("t-a2", "a2");
        put("t-b1", "b1");
    }

    private void put(String id, String zone) {
        mTable.put(FakeTargets.inZone(zone, FakeTargets.record(id, "app", SLOTS, 0)));
    }

    private List<String> serving() {
        return mTable.serving(APP, Residency.ANYWHERE, 0, t -> true).stream()
                .map(t -> t.record().id().value())
                .sorted()
                .toList();
    }

    @Test
    void shouldOfferNoTargetOfAnEvacuatedZone() {
        mTable.find(FakeTargets.record("t-a1", "app", SLOTS, 0).id()).orElseThrow().recordSent(0);
        assertThat(mTable.evacuate(A1), is(true));
        assertThat(mTable.evacuate(A1), is(false));
        assertThat(serving(), is(List.of("t-a2", "t-b1")));
        assertThat(mTable.candidates(APP, Residency.ANYWHERE, 0, t -> true).size(), is(2));
        put("t-a1-new", "a1");
        put("t-a1", "a1");
        assertThat(serving(), is(List.of("t-a2", "t-b1")));
        assertThat(
                mTable.isServing(APP, Residency.ANYWHERE, t -> t.record().zone().equals(A1)),
                is(false));
    }

    @Test
    void shouldOfferTheTargetsOfAZoneThatIsTakenBack() {
        mTable.evacuate(A1);
        assertThat(mTable.takeBack(A1, 0), is(true));
        assertThat(mTable.takeBack(A1, 0), is(false));
        assertThat(serving(), is(List.of("t-a1", "t-a2", "t-b1")));
    }

    @Test
    void shouldSpreadByFreeSlotsWhileAZoneOfTheRegionIsEvacuated() {
        assertThat(countSends(A2, 4), is(Map.of("t-a2", 4)));
        mTable.evacuate(A1);
        Map<String, Integer> sends = countSends(A2, 6);
        assertThat(sends, is(Map.of("t-a2", 3, "t-b1", 3)));
    }

    @Test
    void shouldKeepDistancesInOtherRegions() {
        EvacuationSpread fromB = new EvacuationSpread(distancesFrom(B1), mTable, B1);
        EvacuationSpread fromA = new EvacuationSpread(distancesFrom(A2), mTable, A2);
        mTable.evacuate(A1);
        assertThat(fromB.to(A2), is(ZoneDistance.OTHER_REGION));
        assertThat(fromA.to(B1), is(ZoneDistance.SAME_REGION));
        mTable.takeBack(A1, 0);
        assertThat(fromA.to(B1), is(ZoneDistance.OTHER_REGION));
    }

    private ZoneDistance.Map distancesFrom(AvailabilityZoneId own) {
        return zone ->
                zone.equals(own)
                        ? ZoneDistance.SAME_ZONE
                        : mRegions.isSameRegion(zone, own)
                                ? ZoneDistance.SAME_REGION
                                : ZoneDistance.OTHER_REGION;
    }

    /** Sends requests from a zone, none of which ends, and counts them by target. */
    private Map<String, Integer> countSends(AvailabilityZoneId own, int requests) {
        mTable.all().forEach(EvacuationTest::drain);
        TargetChooser chooser =
                new TargetChooser(
                        new EvacuationSpread(distancesFrom(own), mTable, own),
                        new SplittableRandom(1));
        Map<String, Integer> sends = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            TargetState target =
                    chooser.choose(
                                    mTable.serving(
                                            APP,
                                            Residency.ANYWHERE,
                                            0,
                                            t -> !t.record().zone().equals(A1)),
                                    0)
                            .orElseThrow();
            target.recordSent(0);
            sends.merge(target.record().id().value(), 1, Integer::sum);
        }
        return sends;
    }

    private static void drain(TargetState target) {
        while (target.inFlight() > 0) {
            target.recordEnded();
        }
    }
}
