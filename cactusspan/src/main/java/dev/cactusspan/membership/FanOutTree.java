package dev.cactusspan.membership;

import dev.cactusspan.id.VmId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Two trees over the entries of a region that distribute updates and freshness. Each entry has a
 * parent in each tree, and the roots watch the platform. Because the two trees order the entries
 * differently, the loss of one entry rarely removes both parents of another.
 */
public final class FanOutTree {
    private static final int FAN_OUT = 8;
    private static final List<String> KEYS = List.of("tree-a", "tree-b");

    private FanOutTree() {}

    /**
     * Returns the parents of an entry.
     *
     * @param self the entry
     * @param entries live entries of its region, including itself
     * @return up to two parents; none if it is a root of both trees
     */
    public static List<VmId> parents(VmId self, List<VmRecord> entries) {
        List<VmId> parents = new ArrayList<>();
        for (String key : KEYS) {
            List<VmId> order = Rendezvous.order(key, entries);
            int index = order.indexOf(self);
            if (index <= 0) {
                continue;
            }
            VmId parent = order.get((index - 1) / FAN_OUT);
            if (!parents.contains(parent)) {
                parents.add(parent);
            }
        }
        return parents;
    }

    /**
     * Returns the parent that receives aggregated sums. There is only one, so that each entry is
     * counted once.
     *
     * @param self the entry
     * @param entries live entries of its region, including itself
     * @return the parent in the first tree, empty for its root
     */
    public static Optional<VmId> aggregationParent(VmId self, List<VmRecord> entries) {
        List<VmId> order = Rendezvous.order(KEYS.get(0), entries);
        int index = order.indexOf(self);
        return index <= 0 ? Optional.empty() : Optional.of(order.get((index - 1) / FAN_OUT));
    }

    /**
     * Returns the roots, which watch the platform.
     *
     * @param entries live entries of a region
     * @return one or two roots, starting with that of the first tree; none if there are no entries
     */
    public static List<VmId> roots(List<VmRecord> entries) {
        return KEYS.stream()
                .flatMap(key -> Rendezvous.order(key, entries).stream().limit(1))
                .distinct()
                .toList();
    }
}
