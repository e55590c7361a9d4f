package dev.cactusspan.region;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.RegionId;
import dev.cactusspan.text.JsonText;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Regions to which routes and client accounts bind requests. */
final class ResidencyTest {
    private static final RegionId A = RegionId.of("ra");
    private static final RegionId B = RegionId.of("rb");

    private static Residency of(Set<Integer> numbers) {
        return Residency.of(
                numbers.stream()
                        .map(n -> RegionId.of("r" + Math.floorMod(n, 4)))
                        .collect(java.util.stream.Collectors.toSet()));
    }

    @Property(seed = "3101")
    void shouldAllowWhatBothAllow(
            @ForAll Set<Integer> first, @ForAll Set<Integer> second, @ForAll int number) {
        Optional<RegionId> region = Optional.of(RegionId.of("r" + Math.floorMod(number, 4)));
        Residency both = of(first).and(of(second));
        assertThat(both.allows(region), is(of(first).allows(region) && of(second).allows(region)));
        assertThat(both, is(of(second).and(of(first))));
    }

    @Test
    void shouldAllowNothingWhereNoRegionIsLeft() {
        Residency none = Residency.of(Set.of(A)).and(Residency.of(Set.of(B)));
        assertThat(none.isBound(), is(true));
        assertThat(none.allows(Optional.of(A)), is(false));
        assertThat(none.and(Residency.ANYWHERE).allows(Optional.of(B)), is(false));
    }

    @Test
    void shouldAllowNoUnknownRegionToABoundRequest() {
        RegionMap regions = RegionMap.of(Map.of(AvailabilityZoneId.of("a"), A));
        Residency bound = Residency.of(Set.of(A));
        assertThat(regions.allows(bound, AvailabilityZoneId.of("a")), is(true));
        assertThat(regions.allows(bound, AvailabilityZoneId.of("z")), is(false));
        assertThat(regions.allows(Residency.ANYWHERE, AvailabilityZoneId.of("z")), is(true));
        assertThat(
                regions.isSameRegion(AvailabilityZoneId.of("z"), AvailabilityZoneId.of("z")),
                is(false));
    }

    @Test
    void shouldBeReadAsItWasWritten() {
        Residency bound = Residency.of(Set.of(A, B));
        assertThat(JsonText.read(JsonText.write(bound), Residency.class).get(), is(bound));
    }
}
