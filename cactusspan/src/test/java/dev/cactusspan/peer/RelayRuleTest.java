package dev.cactusspan.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.RegionId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.region.RegionMap;
import dev.cactusspan.region.Residency;
import dev.cactusspan.store.StoredItem;
import dev.cactusspan.text.JsonText;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Processes that relay calls to the store, some of which carry the bodies of a batch. */
final class RelayRuleTest {
    private final NodeDirectory mNodes = new NodeDirectory();
    private final RelayRule mRule =
            new RelayRule(
                    mNodes,
                    RegionMap.of(
                            Map.of(
                                    AvailabilityZoneId.of("a"),
                                    RegionId.of("ra"),
                                    AvailabilityZoneId.of("b"),
                                    RegionId.of("rb"))),
                    "self#1");

    RelayRuleTest() {
        put("self", "b");
        put("in-a", "a");
        put("in-b", "b");
        put("elsewhere", "z");
    }

    private void put(String vm, String zone) {
        NodeRecord node =
                new NodeRecord(VmId.of(vm), "1", AvailabilityZoneId.of(zone), "10.0.0.1", 1, false);
        String key = NodeDirectory.PREFIX + vm;
        mNodes.changed(key, Optional.of(new StoredItem(key, JsonText.write(node), 1, 0)));
    }

    private List<String> relays(Residency residency) {
        return mRule.relays(residency).stream().map(NodeRecord::owner).sorted().toList();
    }

    @Test
    void shouldRelayThroughAnyOtherProcessWhatIsNotBound() {
        assertThat(relays(Residency.ANYWHERE), is(List.of("elsewhere#1", "in-a#1", "in-b#1")));
    }

    @Test
    void shouldRelayABodyOnlyThroughItsRegions() {
        assertThat(relays(Residency.of(Set.of(RegionId.of("rb")))), is(List.of("in-b#1")));
        assertThat(relays(Residency.of(Set.of(RegionId.of("rc")))), is(empty()));
    }
}
