package dev.cactusspan.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.VmId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Links between entries and targets, fan-out trees and freshness rules. */
final class MembershipTest {
    private static final int LINKS = 8;

    private static VmRecord vm(String name, VmRecord.Role role, int zone) {
        return new VmRecord(
                VmId.of(name),
                EnvironmentId.of("e"),
                AvailabilityZoneId.of("z" + zone),
                role,
                ServiceId.of("s"),
                "127.0.0.1",
                1,
                VmRecord.State.LIVE);
    }

    private static List<VmRecord> entries(int count) {
        List<VmRecord> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(vm("entry-" + i, VmRecord.Role.ENTRY, i % 11));
        }
        return entries;
    }

    @Property(seed = "81", tries = 50)
    void shouldConnectEachTargetToEnoughEntriesButNotTooMany(
            @ForAll @IntRange(min = 1, max = 330) int count,
            @ForAll @IntRange(min = 0, max = 10_000) int target) {
        SubsetChooser chooser = new SubsetChooser(LINKS);
        List<VmRecord> entries = entries(count);
        VmRecord record = vm("t" + target, VmRecord.Role.TARGET, target % 11);
        long links = entries.stream().filter(e -> chooser.isChosen(e, record, entries)).count();
        assertThat(links, greaterThanOrEqualTo((long) Math.min(count, LINKS / 2)));
        assertThat(links, lessThanOrEqualTo((long) LINKS));
    }

    @Test
    void shouldMoveFewLinksWhenAnEntryIsReplaced() {
        SubsetChooser chooser = new SubsetChooser(LINKS);
        List<VmRecord> before = entries(330);
        List<VmRecord> after = new ArrayList<>(before);
        after.set(5, vm("entry-new", VmRecord.Role.ENTRY, 5));
        int moved = 0;
        for (int i = 0; i < 100; i++) {
            VmRecord target = vm("t" + i, VmRecord.Role.TARGET, i % 11);
            for (VmRecord entry : before) {
                boolean isLinkedBefore = chooser.isChosen(entry, target, before);
                boolean isLinkedAfter =
                        after.contains(entry) && chooser.isChosen(entry, target, after);
                moved += isLinkedBefore != isLinkedAfter ? 1 : 0;
            }
        }
        assertThat(moved, lessThanOrEqualTo(30));
    }

    @Property(seed = "82", tries = 50)
    void shouldReachEachEntryFromARootWithinThreeHops(
            @ForAll @IntRange(min = 1, max = 70) int count) {
        List<VmRecord> entries = entries(count);
        Set<VmId> reached = new HashSet<>(FanOutTree.roots(entries));
        for (int hop = 0; hop < 3; hop++) {
            Set<VmId> next = new HashSet<>(reached);
            for (VmRecord entry : entries) {
                List<VmId> parents = FanOutTree.parents(entry.vm(), entries);
                if (parents.stream().anyMatch(reached::contains)) {
                    next.add(entry.vm());
                }
            }
            reached = next;
        }
        assertThat(reached, hasSize(count));
    }

    @Test
    void shouldNeverNameAnEntryItsOwnParent() {
        List<VmRecord> entries = entries(66);
        for (VmRecord entry : entries) {
            FanOutTree.parents(entry.vm(), entries)
                    .forEach(parent -> assertThat(parent, is(not(entry.vm()))));
        }
    }

    @Test
    void shouldServeInAPlatformOutageAndRefuseInAPartition() {
        FreshnessRule rule = FreshnessRule.unlessPlatformIsDown();
        FreshnessRule.RegionStatus stale = new FreshnessRule.RegionStatus(true, 60_000);
        FreshnessRule.RegionStatus fresh = new FreshnessRule.RegionStatus(true, 500);
        FreshnessRule.RegionStatus unreachable = new FreshnessRule.RegionStatus(false, 60_000);
        assertThat(isFresh(rule, List.of(stale, stale)), is(true));
        assertThat(isFresh(rule, List.of(stale, fresh)), is(false));
        assertThat(isFresh(rule, List.of(stale, unreachable)), is(false));
    }

    private static boolean isFresh(FreshnessRule rule, List<FreshnessRule.RegionStatus> regions) {
        return rule.isFresh(FreshnessRule.Knowledge.ofRoot(60_000, regions, 8_000), 8_000);
    }
}
