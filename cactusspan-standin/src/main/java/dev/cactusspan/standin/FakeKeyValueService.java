package dev.cactusspan.standin;

import dev.cactusspan.platform.KeyValueService.Entry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Keys with versions and waiting watches in memory; all methods are for any thread. */
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

    /** Replies at once if the key is newer, else when it changes or the time is up. */
    void watch(String key, long after, long untilMs, Consumer<Optional<Entry>> reply) {
        Optional<Entry> newer;
        synchronized (this) {
            mReads++;
            newer = Optional.ofNullable(mEntries.get(key)).filter(e -> e.version() > after);
            if (newer.isEmpty()) {
                mWatches.add(new Watch(key, after, untilMs, reply));
            }
        }
        if (newer.isPresent()) {
            reply.accept(newer);
        }
    }

    /** Writes a key and returns its new version, or nothing if its version is another. */
    Optional<Long> compareAndSwap(String key, long expected, byte[] value) {
        List<Watch> due = new ArrayList<>();
        Entry entry;
        synchronized (this) {
            mWrites++;
            long present = Optional.ofNullable(mEntries.get(key)).map(Entry::version).orElse(0L);
            if (present != expected) {
                mConflicts++;
                return Optional.empty();
            }
            entry = new Entry(expected + 1, value);
            mEntries.put(key, entry);
            for (Iterator<Watch> it = mWatches.iterator(); it.hasNext(); ) {
                Watch watch = it.next();
                if (watch.key().equals(key)) {
                    it.remove();
                    due.add(watch);
                }
            }
        }
        due.forEach(w -> w.reply().accept(Optional.of(entry)));
        return Optional.of(entry.version());
    }

    /** Ends watches whose time is up. */
    void expireWatches(long nowMs) {
        List<Watch> due = new ArrayList<>();
        synchronized (this) {
            for (Iterator<Watch> it = mWatches.iterator(); it.hasNext(); ) {
                Watch watch = it.next();
                if (watch.untilMs() <= nowMs) {
                    it.remove();
                    due.add(watch);
                }
            }
        }
        due.forEach(w -> w.reply().accept(Optional.empty()));
    }

    synchronized Counters counters() {
        return new Counters(mReads, mWrites, mConflicts, mWatches.size());
    }

    /** What the service was asked. */
    record Counters(long reads, long writes, long conflicts, int watches) {}

    private record Watch(String key, long after, long untilMs, Consumer<Optional<Entry>> reply) {}
}
