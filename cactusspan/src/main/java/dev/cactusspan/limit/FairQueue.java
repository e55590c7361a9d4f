package dev.cactusspan.limit;

import dev.cactusspan.config.EnvironmentDocument.RequestClass;
import dev.cactusspan.id.AccountId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Weighted start-time fair queueing over flows of (client account, class). A flow that was idle
 * starts at the current virtual time, so that it accumulates no credit while idle. The class
 * multiplies the weight: rollouts mostly get the capacity that other classes leave, but are never
 * starved. When the queue is full, the last request of the flow with the largest backlog per weight
 * is evicted.
 *
 * @param <T> type of the queued items
 */
public final class FairQueue<T> implements RequestQueue<T> {
    private static final double COST = 1.0;
    private static final int INTERACTIVE_FACTOR = 16;
    private static final int NON_IDEMPOTENT_FACTOR = 16;
    private static final int ROLLOUT_FACTOR = 1;

    private final int mCapacityItems;
    private final Map<FlowId, Flow<T>> mFlows = new LinkedHashMap<>();
    private final FairShare<FlowId> mShare = new FairShare<>();
    private int mSize;

    /**
     * Creates a queue.
     *
     * @param capacityItems maximum number of queued requests
     */
    public FairQueue(int capacityItems) {
        mCapacityItems = capacityItems;
    }

    // Operations

    @Override
    public Optional<QueuedItem<T>> add(QueuedItem<T> item) {
        FlowId id = new FlowId(item.account(), item.requestClass());
        Flow<T> flow = mFlows.computeIfAbsent(id, f -> new Flow<>());
        flow.mWeight = item.weight() * factor(item.requestClass());
        if (flow.mItems.isEmpty()) {
            mShare.enter(id);
        }
        flow.mItems.addLast(item);
        mSize++;
        return mSize > mCapacityItems ? Optional.of(evict()) : Optional.empty();
    }

    private QueuedItem<T> evict() {
        Flow<T> longest = null;
        for (Flow<T> flow : mFlows.values()) {
            if (longest == null || flow.backlog() > longest.backlog()) {
                longest = flow;
            }
        }
        mSize--;
        return longest.mItems.pollLast();
    }

    @Override
    public Optional<QueuedItem<T>> poll(Predicate<QueuedItem<T>> admitted) {
        FlowId first = null;
        for (Map.Entry<FlowId, Flow<T>> flow : mFlows.entrySet()) {
            QueuedItem<T> head = flow.getValue().mItems.peekFirst();
            if (head == null || !admitted.test(head)) {
                continue;
            }
            if (first == null || mShare.start(flow.getKey()) < mShare.start(first)) {
                first = flow.getKey();
            }
        }
        if (first == null) {
            return Optional.empty();
        }
        Flow<T> flow = mFlows.get(first);
        mShare.serve(first, COST, flow.mWeight);
        mSize--;
        QueuedItem<T> item = flow.mItems.pollFirst();
        mFlows.values().removeIf(f -> f.mItems.isEmpty());
        mShare.forget(id -> !mFlows.containsKey(id));
        return Optional.of(item);
    }

    @Override
    public List<QueuedItem<T>> removeIf(Predicate<QueuedItem<T>> which) {
        List<QueuedItem<T>> removed = new ArrayList<>();
        for (Flow<T> flow : mFlows.values()) {
            for (Iterator<QueuedItem<T>> it = flow.mItems.iterator(); it.hasNext(); ) {
                QueuedItem<T> item = it.next();
                if (which.test(item)) {
                    it.remove();
                    removed.add(item);
                }
            }
        }
        mSize -= removed.size();
        return removed;
    }

    private static int factor(RequestClass requestClass) {
        return switch (requestClass) {
            case INTERACTIVE -> INTERACTIVE_FACTOR;
            case NON_IDEMPOTENT -> NON_IDEMPOTENT_FACTOR;
            case ROLLOUT -> ROLLOUT_FACTOR;
        };
    }

    /** Counts the flow's own requests and what other flows are served meanwhile by their weight. */
    @Override
    public int ahead(QueuedItem<T> item) {
        FlowId id = new FlowId(item.account(), item.requestClass());
        int weight = item.weight() * factor(item.requestClass());
        int own = Optional.ofNullable(mFlows.get(id)).map(f -> f.mItems.size()).orElse(0);
        double ahead = own;
        for (Map.Entry<FlowId, Flow<T>> flow : mFlows.entrySet()) {
            if (!flow.getKey().equals(id)) {
                double servedMeanwhile = (own + 1.0) * flow.getValue().mWeight / weight;
                ahead += Math.min(flow.getValue().mItems.size(), servedMeanwhile);
            }
        }
        return (int) ahead;
    }

    // Accessors

    @Override
    public int size() {
        return mSize;
    }

    private record FlowId(AccountId account, RequestClass requestClass) {}

    private static final class Flow<T> {
        private final Deque<QueuedItem<T>> mItems = new ArrayDeque<>();
        private int mWeight = 1;

        double backlog() {
            return (double) mItems.size() / mWeight;
        }
    }
}
