package dev.cactusspan.batch;

import dev.cactusspan.waiting.Need;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Determines the order in which the items of a batch are dispatched: longest first, because they
 * finish last. The trainer waits for a limited number of groups only, so the groups with the
 * longest items beyond that number are deferred until after all others. The first groups of a batch
 * are never deferred, as the trainer may wait for them in any case.
 */
final class DispatchOrder {
    private DispatchOrder() {}

    /**
     * An item in dispatch order.
     *
     * @param item the item
     * @param need what the trainer loses while it waits
     */
    record Ordered(BatchItem item, Need need) {}

    /**
     * Sorts the items of a batch.
     *
     * @param batch the batch
     * @return its items in dispatch order
     */
    static List<Ordered> of(Batch batch) {
        Map<String, Long> longestByGroup = new LinkedHashMap<>();
        batch.items().forEach(i -> longestByGroup.merge(i.group(), i.expectedTokens(), Math::max));
        List<String> groups = new ArrayList<>(longestByGroup.keySet());
        int firstCount = Math.min(groups.size(), (batch.wantedGroups() + 1) / 2);
        Set<String> first = new HashSet<>(groups.subList(0, firstCount));
        Set<String> deferred =
                deferredGroups(
                        groups.subList(firstCount, groups.size()),
                        longestByGroup,
                        Math.max(0, groups.size() - batch.wantedGroups()));
        List<Ordered> items = new ArrayList<>();
        for (BatchItem item : batch.items()) {
            items.add(new Ordered(item, need(item, first, deferred)));
        }
        items.sort(
                Comparator.comparing((Ordered o) -> o.need() == Need.SURPLUS_GROUPS)
                        .thenComparing(o -> o.item().expectedTokens(), Comparator.reverseOrder()));
        return items;
    }

    private static Need need(BatchItem item, Set<String> first, Set<String> deferred) {
        if (first.contains(item.group())) {
            return Need.FIRST_GROUPS;
        }
        return deferred.contains(item.group()) ? Need.SURPLUS_GROUPS : Need.WANTED_GROUPS;
    }

    private static Set<String> deferredGroups(
            List<String> deferrable, Map<String, Long> longestByGroup, int surplus) {
        return new HashSet<>(
                deferrable.stream()
                        .sorted(
                                Comparator.comparing(
                                        longestByGroup::get, Comparator.reverseOrder()))
                        .limit(surplus)
                        .toList());
    }
}
