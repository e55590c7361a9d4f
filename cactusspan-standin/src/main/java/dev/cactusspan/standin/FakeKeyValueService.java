package dev.cactusspan.standin;

import dev.cactusspan.platform.KeyValueService.Entry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Keeps versioned keys and pending watches in memory; all methods are thread-safe. */
final class FakeKeyValueService {
    private final Map<String, Entry> mEntries = new HashMap<>();
    private final List<Watch> mWatches = new ArrayList<>();
    private long mReads;
    private long mWrites;
    private long mConflicts;

    synchronized Optional<Entry> get(String key) {
        mReads++;
        return Optional.ofNullable(mEntries.get(key));
    }

    /**
     * Notifies the listener immediately if the key is newer than a version, otherwise when the key
     * changes or the time limit passes.
     */
    void watch(String key, long after, long untilMs, Consumer<Optional<Entry>> listener) {
        Optional<Entry> newer;
        synchronized (this) {
            mReads++;
            newer = Optional.ofNullable(mEntries.get(key)).filter(e -> e.version() > after);
            if (newer.isEmpty()) {
                mWatches.add(new Watch(key, after, untilMs, listener));
            }
        }
        if (newer.isPresent()) {
            listener.accept(newer);
        }
    }

    /**
     * Writes a key and returns its new version, or empty if its current version is not the expected
     * one.
     */
    Optional<Long> compareAndSwap(String key, long expected, byte[] value) {
        List<Watch> completed = new ArrayList<>();
        Entry entry;
        synchronized (this) {
            mWrites++;
            long current = Optional.ofNullable(mEntries.get(key)).map(Entry::version).orElse(0L);
            if (current != expected) {
                mConflicts++;
                return Optional.empty();
            }
            entry = new Entry(expected + 1, value);
            mEntries.put(key, entry);
            for (Iterator<Watch> it = mWatches.iterator(); it.hasNext(); ) {
                Watch watch = it.next();
                if (watch.key().equals(key)) {
                    it.remove();
                    completed.add(watch);
                }
            }
        }
        completed.forEach(w -> w.listener().accept(Optional.of(entry)));
        return Optional.of(entry.version());
    }

    /** Completes watches whose time limit has passed. */
    void expireWatches(long nowMs) {
        List<Watch> completed = new ArrayList<>();
        synchronized (this) {
            for (Iterator<Watch> it = mWatches.iterator(); it.hasNext(); ) {
                Watch watch = it.next();
                if (watch.untilMs() <= nowMs) {
                    it.remove();
                    completed.add(watch);
                }
            }
        }
        completed.forEach(w -> w.listener().accept(Optional.empty()));
    }

    synchronized Counters counters() {
        return new Counters(mReads, mWrites, mConflicts, mWatches.size());
    }

    /** Counts of the operations that the service received. */
    record Counters(long reads, long writes, long conflicts, int watches) {}

    private record Watch(
            String key, long after, long untilMs, Consumer<Optional<Entry>> listener) {}
}
