package dev.cactusspan.standin.hosted;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Records what targets and the platform observe, so that guarantees can be checked against it. */
public final class ObservationLog {
    /** An event that a target generated. */
    record Event(long id, long version) {}

    private final Map<String, List<Event>> mEvents = new ConcurrentHashMap<>();
    private final Map<String, Integer> mRuns = new ConcurrentHashMap<>();
    private final Map<String, String> mAccounts = new ConcurrentHashMap<>();
    private final Map<Long, Map<String, Long>> mUsage = new ConcurrentHashMap<>();
    private final Map<Long, Map<String, Long>> mTrueCounts = new ConcurrentHashMap<>();
    private final List<String> mCrashes = new CopyOnWriteArrayList<>();
    private final List<String> mViolations = new CopyOnWriteArrayList<>();

    void recordEvent(String item, long id, long version) {
        mEvents.computeIfAbsent(item, i -> new CopyOnWriteArrayList<>())
                .add(new Event(id, version));
    }

    void recordRun(String request, String account, long window) {
        int runs = mRuns.merge(request, 1, Integer::sum);
        mAccounts.put(request, account);
        // A request that ran more than once, at a second target for example, counts as one request.
        if (!account.isEmpty() && runs == 1) {
            mTrueCounts
                    .computeIfAbsent(window, w -> new ConcurrentHashMap<>())
                    .merge(account, 1L, Long::sum);
        }
    }

    void recordCrash(String target) {
        mCrashes.add(target);
    }

    /** Returns the targets that crashed, in order. */
    List<String> crashes() {
        return List.copyOf(mCrashes);
    }

    void recordUsage(long window, Map<String, Long> counts) {
        Map<String, Long> previous = mUsage.putIfAbsent(window, counts);
        if (previous != null && !previous.equals(counts)) {
            addViolation("window " + window + " was reported with two different counts");
        }
    }

    void addViolation(String violation) {
        mViolations.add(violation);
    }

    /** Returns the versions under which any run generated an event of an item. */
    List<Long> versionsOf(String item, long id) {
        return mEvents.getOrDefault(item, List.of()).stream()
                .filter(e -> e.id() == id)
                .map(Event::version)
                .toList();
    }

    int runs(String request) {
        return mRuns.getOrDefault(request, 0);
    }

    /**
     * Counts the windows whose report is missing or differs from the true count by more than a
     * tolerance, which is a share of the true count.
     */
    long countWrongWindows(long fromWindow, long toWindow, double tolerance) {
        long wrong = 0;
        for (long window = fromWindow; window <= toWindow; window++) {
            Map<String, Long> actual = mTrueCounts.getOrDefault(window, Map.of());
            Map<String, Long> reported = mUsage.getOrDefault(window, Map.of());
            boolean isCorrect =
                    actual.entrySet().stream()
                            .allMatch(
                                    e ->
                                            Math.abs(
                                                            reported.getOrDefault(e.getKey(), 0L)
                                                                    - e.getValue())
                                                    <= Math.max(1, tolerance * e.getValue()));
            wrong += isCorrect ? 0 : 1;
        }
        return wrong;
    }

    /**
     * Returns the violated guarantees.
     *
     * @return one line each
     */
    public List<String> violations() {
        return new ArrayList<>(mViolations);
    }
}
