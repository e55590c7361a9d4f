package dev.cactusspan.batch;

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
     * Sorts the items of a batch.
     *
     * @param batch the batch
     * @return its items in dispatch order
     */
    static List<BatchItem> of(Batch batch) {
        Set<String> deferred = deferredGroups(batch);
        List<BatchItem> items = new ArrayList<>(batch.items());
        items.sort(
                Comparator.comparing((BatchItem i) -> deferred.contains(i.group()))
                        .thenComparing(BatchItem::expectedTokens, Comparator.reverseOrder()));
        return items;
    }

    private static Set<String> deferredGroups(Batch batch) {
        Map<String, Long> longestByGroup = new LinkedHashMap<>();
        batch.items().forEach(i -> longestByGroup.merge(i.group(), i.expectedTokens(), Math::max));
        int surplus = Math.max(0, longestByGroup.size() - batch.wantedGroups());
        List<String> groups = new ArrayList<>(longestByGroup.keySet());
        List<String> deferrable =
                groups.subList(
                        Math.min(groups.size(), (batch.wantedGroups() + 1) / 2), groups.size());
        return new HashSet<>(
                deferrable.stream()
                        .sorted(
                                Comparator.comparing(
                                        longestByGroup::get, Comparator.reverseOrder()))
                        .limit(surplus)
                        .toList());
    }
}
