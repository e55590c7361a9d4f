package dev.cactusspan.standin.hosted;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/** A key-value store in memory with one revision counter, leases and watches. */
final class MemoryStore {
    /** An item or, with no value, a removal. */
    record Item(String key, Optional<byte[]> value, long revision, long created, long lease) {}

    /** A condition on a key; revision zero expects that it does not exist. */
    record Condition(String key, long revision) {}

    /** A key to write. */
    record Write(String key, byte[] value, long lease) {}

    /** Changes and the revision to continue from; no list if the history is gone. */
    record WatchResult(Optional<List<Item>> events, long revision) {}

    private record Lease(long ttlMs, long untilMs) {}

    private record Watcher(String prefix, long after, long untilMs, Consumer<WatchResult> taker) {}

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

    /** Applies a change as a whole; returns its revision, empty if a condition failed. */
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
        wake(Long.MIN_VALUE);
        return Optional.of(mRevision);
    }

    private void apply(Write write) {
        Item held = mItems.get(write.key());
        long created = held == null ? mRevision : held.created();
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

    /** Renews a lease; returns its length, empty if it has ended. */
    synchronized Optional<Long> renew(long lease, long nowMs) {
        Lease held = mLeases.get(lease);
        if (held == null) {
            return Optional.empty();
        }
        mLeases.put(lease, new Lease(held.ttlMs(), nowMs + held.ttlMs()));
        return Optional.of(held.ttlMs());
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
        wake(Long.MIN_VALUE);
    }

    synchronized void watch(String prefix, long after, long untilMs, Consumer<WatchResult> taker) {
        if (after < mHistoryFrom) {
            taker.accept(new WatchResult(Optional.empty(), mRevision));
            return;
        }
        mWatchers.add(new Watcher(prefix, after, untilMs, taker));
        wake(Long.MIN_VALUE);
    }

    synchronized void dropHistory() {
        mHistory.clear();
        mHistoryFrom = mRevision;
    }

    /** Ends leases and answers watches whose time is up. */
    synchronized void expire(long nowMs) {
        for (Map.Entry<Long, Lease> entry : List.copyOf(mLeases.entrySet())) {
            if (nowMs >= entry.getValue().untilMs()) {
                revoke(entry.getKey());
            }
        }
        wake(nowMs);
    }

    private void wake(long nowMs) {
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
                watcher.taker().accept(new WatchResult(Optional.of(events), mRevision));
            }
        }
    }
}
