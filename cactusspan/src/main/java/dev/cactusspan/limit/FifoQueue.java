package dev.cactusspan.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Queue in order of arrival; the baseline that {@link FairQueue} is compared with.
 *
 * @param <T> type of the queued items
 */
public final class FifoQueue<T> implements RequestQueue<T> {
    private final int mCapacityItems;
    private final Deque<QueuedItem<T>> mItems = new ArrayDeque<>();

    /**
     * Creates a queue.
     *
     * @param capacityItems maximum number of queued requests
     */
    public FifoQueue(int capacityItems) {
        mCapacityItems = capacityItems;
    }

    @Override
    public Optional<QueuedItem<T>> add(QueuedItem<T> item) {
        if (mItems.size() >= mCapacityItems) {
            return Optional.of(item);
        }
        mItems.addLast(item);
        return Optional.empty();
    }

    @Override
    public Optional<QueuedItem<T>> poll(Predicate<QueuedItem<T>> admitted) {
        for (Iterator<QueuedItem<T>> it = mItems.iterator(); it.hasNext(); ) {
            QueuedItem<T> item = it.next();
            if (admitted.test(item)) {
                it.remove();
                return Optional.of(item);
            }
        }
        return Optional.empty();
    }

    @Override
    public List<QueuedItem<T>> removeIf(Predicate<QueuedItem<T>> which) {
        List<QueuedItem<T>> removed = new ArrayList<>(mItems.stream().filter(which).toList());
        mItems.removeAll(removed);
        return removed;
    }

    @Override
    public int ahead(QueuedItem<T> item) {
        return mItems.size();
    }

    @Override
    public int size() {
        return mItems.size();
    }
}
