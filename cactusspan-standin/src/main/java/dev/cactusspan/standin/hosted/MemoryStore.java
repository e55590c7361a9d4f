package dev.cactusspan.standin.hosted;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Keeps a key-value store in memory with one revision counter, leases and watches. */
final class MemoryStore {
    /** An item, or a deletion if it has no value. */
    record Item(String key, Optional<byte[]> value, long revision, long created, long lease) {}

    /** A condition on a key; revision zero requires that the key does not exist. */
    record Condition(String key, long revision) {}

    /** A key to write. */
    record Write(String key, byte[] value, long lease) {}

    /**
     * Changes and the revision to continue from; events are absent if the history was discarded.
     */
    record WatchResult(Optional<List<Item>> events, long revision) {}

    private record Lease(long ttlMs, long untilMs) {}

    private record Watcher(
            String prefix, long after, long untilMs, Consumer<WatchResult> listener) {}

    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Item> mHistory = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final List<Watcher> mWatchers = new ArrayList<>();
    private long mRevision = 1;
    private long mHistoryFrom = 1;

    synchronized Optional<Item> get(String key) {
        return Optional.ofNullable(mItems.get(key));
    }

    synchronized List<Item> range(String prefix, String after) {
        return mItems.tailMap(prefix, true).values().stream()
                .takeWhile(i -> i.key().startsWith(prefix))
                .filter(i -> i.key().compareTo(after) > 0)
                .toList();
    }

    synchronized long revision() {
        return mRevision;
    }

    /** Applies a change atomically; returns its revision, or empty if a condition failed. */
    synchronized Optional<Long> commit(
            List<Condition> conditions, List<Write> writes, List<String> deletes) {
        for (Condition condition : conditions) {
            Item item = mItems.get(condition.key());
            if ((item == null ? 0 : item.revision()) != condition.revision()) {
                return Optional.empty();
            }
        }
        mRevision++;
        writes.forEach(this::apply);
        deletes.forEach(this::remove);
        notifyWatchers(Long.MIN_VALUE);
        return Optional.of(mRevision);
    }

    private void apply(Write write) {
        Item previous = mItems.get(write.key());
        long created = previous == null ? mRevision : previous.created();
        Item item =
                new Item(
                        write.key(), Optional.of(write.value()), mRevision, created, write.lease());
        mItems.put(write.key(), item);
        mHistory.add(item);
    }

    private void remove(String key) {
        if (mItems.remove(key) != null) {
            mHistory.add(new Item(key, Optional.empty(), mRevision, 0, 0));
        }
    }

    synchronized boolean hasLease(long lease) {
        return mLeases.containsKey(lease);
    }

    synchronized long grant(long ttlMs, long nowMs) {
        mRevision++;
        mLeases.put(mRevision, new Lease(ttlMs, nowMs + ttlMs));
        return mRevision;
    }

    /** Renews a lease; returns its time to live, or empty if it has ended. */
    synchronized Optional<Long> renew(long lease, long nowMs) {
        Lease previous = mLeases.get(lease);
        if (previous == null) {
            return Optional.empty();
        }
        mLeases.put(lease, new Lease(previous.ttlMs(), nowMs + previous.ttlMs()));
        return Optional.of(previous.ttlMs());
    }

    synchronized void revoke(long lease) {
        if (mLeases.remove(lease) == null) {
            return;
        }
        mRevision++;
        for (Item item : List.copyOf(mItems.values())) {
            if (item.lease() == lease) {
                remove(item.key());
            }
        }
        notifyWatchers(Long.MIN_VALUE);
    }

    synchronized void watch(
            String prefix, long after, long untilMs, Consumer<WatchResult> listener) {
        if (after < mHistoryFrom) {
            listener.accept(new WatchResult(Optional.empty(), mRevision));
            return;
        }
        mWatchers.add(new Watcher(prefix, after, untilMs, listener));
        notifyWatchers(Long.MIN_VALUE);
    }

    synchronized void dropHistory() {
        mHistory.clear();
        mHistoryFrom = mRevision;
    }

    /** Expires leases and completes watches whose time limit has passed. */
    synchronized void expire(long nowMs) {
        for (Map.Entry<Long, Lease> entry : List.copyOf(mLeases.entrySet())) {
            if (nowMs >= entry.getValue().untilMs()) {
                revoke(entry.getKey());
            }
        }
        notifyWatchers(nowMs);
    }

    private void notifyWatchers(long nowMs) {
        for (Watcher watcher : List.copyOf(mWatchers)) {
            List<Item> events =
                    mHistory.stream()
                            .filter(
                                    i ->
                                            i.revision() > watcher.after()
                                                    && i.key().startsWith(watcher.prefix()))
                            .toList();
            if (!events.isEmpty() || nowMs >= watcher.untilMs()) {
                mWatchers.remove(watcher);
                watcher.listener().accept(new WatchResult(Optional.of(events), mRevision));
            }
        }
    }
}
