package dev.cactusspan.waiting;

import dev.cactusspan.limit.FairShare;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Work that waits for places at the targets of one service, in the order of what its callers lose.
 * Load pattern: several steps are asked for at once, more than the places, so that all of them are
 * late if each gets some of its texts; and a route of high priority never leaves a place free, so
 * that work of lower priority is never served.
 *
 * <p>Ranks that contend share the places by {@link #RANK_RATIO}, needs of a rank go strictly one
 * after the other, flows with the same need take turns, and the work of a flow goes by due time.
 * Each {@link #OLDEST_SHARE}th place goes to the work that has waited longest, so that work is
 * served after at most so many places for each piece of work that waited before it.
 *
 * @param <T> type of the work, compared by identity
 */
public final class WaitingLine<T> {
    /**
     * Places that a rank gets for each one of the next lower rank. A kind of request that is served
     * a quarter as often as the others counts as starved; together with the share of the oldest, a
     * rank that demands as much as a higher one gets more than that.
     */
    static final double RANK_RATIO = 4;

    /** One place in so many goes to the work that has waited longest. */
    static final int OLDEST_SHARE = 8;

    private static final double COST = 1;

    private final Map<T, Entry<T>> mEntries = new LinkedHashMap<>();
    private final TreeMap<Rank, Map<Need, Map<Flow, TreeSet<Entry<T>>>>> mRanks = new TreeMap<>();
    private final FairShare<Rank> mRankShare = new FairShare<>();
    private final FairShare<Flow> mFlowShare = new FairShare<>();
    private long mNextSequence;
    private int mServedSinceOldest;

    private record Entry<T>(T work, WorkOrder order, long sequence)
            implements Comparable<Entry<T>> {
        private static final Comparator<Entry<?>> ORDER =
                Comparator.<Entry<?>>comparingLong(e -> e.order().dueMs())
                        .thenComparingInt(e -> e.order().position())
                        .thenComparingLong(Entry::sequence);

        @Override
        public int compareTo(Entry<T> other) {
            return ORDER.compare(this, other);
        }
    }

    // Operations

    /**
     * Adds work.
     *
     * @param work the work
     * @param order what determines its place
     */
    public void add(T work, WorkOrder order) {
        remove(work);
        Entry<T> entry = new Entry<>(work, order, mNextSequence++);
        mEntries.put(work, entry);
        if (!mRanks.containsKey(order.rank())) {
            mRankShare.enter(order.rank());
        }
        Map<Flow, TreeSet<Entry<T>>> flows =
                mRanks.computeIfAbsent(order.rank(), r -> new EnumMap<>(Need.class))
                        .computeIfAbsent(order.need(), n -> new HashMap<>());
        flows.computeIfAbsent(
                        order.flow(),
                        flow -> {
                            mFlowShare.enter(flow);
                            return new TreeSet<>();
                        })
                .add(entry);
    }

    /**
     * Removes work that no longer waits.
     *
     * @param work the work
     */
    public void remove(T work) {
        Entry<T> entry = mEntries.remove(work);
        if (entry == null) {
            return;
        }
        WorkOrder order = entry.order();
        Map<Need, Map<Flow, TreeSet<Entry<T>>>> needs = mRanks.get(order.rank());
        Map<Flow, TreeSet<Entry<T>>> flows = needs.get(order.need());
        flows.get(order.flow()).remove(entry);
        flows.values().removeIf(Collection::isEmpty);
        needs.values().removeIf(Map::isEmpty);
        mRanks.values().removeIf(Map::isEmpty);
    }

    /**
     * Serves the first work that can be placed, and removes it.
     *
     * @param place places work, or returns false if no place suits it
     * @return the work that was placed, empty if there was none
     */
    public Optional<T> serve(Predicate<T> place) {
        boolean isOldestDue = mServedSinceOldest >= OLDEST_SHARE - 1;
        List<Entry<T>> order = isOldestDue ? List.copyOf(mEntries.values()) : inOrder();
        for (Entry<T> entry : order) {
            if (place.test(entry.work())) {
                long oldest = mEntries.values().iterator().next().sequence();
                mServedSinceOldest =
                        isOldestDue || entry.sequence() == oldest ? 0 : mServedSinceOldest + 1;
                charge(entry.order());
                remove(entry.work());
                mFlowShare.forget(flow -> !hasWork(flow));
                return Optional.of(entry.work());
            }
        }
        return Optional.empty();
    }

    private void charge(WorkOrder order) {
        int position = mRanks.headMap(order.rank()).size();
        mRankShare.serve(order.rank(), COST, Math.pow(RANK_RATIO, -position));
        mFlowShare.serve(order.flow(), COST, 1);
    }

    private boolean hasWork(Flow flow) {
        return mRanks.values().stream()
                .flatMap(needs -> needs.values().stream())
                .anyMatch(flows -> flows.containsKey(flow));
    }

    private List<Entry<T>> inOrder() {
        List<Entry<T>> order = new ArrayList<>(mEntries.size());
        List<Rank> ranks = new ArrayList<>(mRanks.keySet());
        ranks.sort(Comparator.comparingDouble(mRankShare::start));
        for (Rank rank : ranks) {
            for (Map<Flow, TreeSet<Entry<T>>> flows : mRanks.get(rank).values()) {
                List<Flow> byShare = new ArrayList<>(flows.keySet());
                byShare.sort(
                        Comparator.<Flow>comparingDouble(mFlowShare::start)
                                .thenComparing(flow -> flows.get(flow).first()));
                byShare.forEach(flow -> order.addAll(flows.get(flow)));
            }
        }
        return order;
    }

    // Accessors

    /**
     * Returns the work in line, that which has waited longest first.
     *
     * @return the work
     */
    public List<T> byAge() {
        return List.copyOf(mEntries.keySet());
    }

    /**
     * Returns the amount of work in line.
     *
     * @return number of pieces of work
     */
    public int size() {
        return mEntries.size();
    }
}
