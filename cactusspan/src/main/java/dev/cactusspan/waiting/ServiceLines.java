package dev.cactusspan.waiting;

import dev.cactusspan.id.ServiceId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * The lines of all services at one process. Work is placed once a place becomes free: a run has
 * ended, a target has appeared or changed, or a time has passed until which a target was avoided.
 */
public final class ServiceLines {
    /**
     * Interval at which work is offered to the targets whatever has happened, in milliseconds. It
     * covers what depends on time alone, as how long an item keeps away from where it failed, and
     * is short against the latency objectives of several hundred milliseconds.
     */
    private static final long CHECK_MS = 100;

    private final Executor mThread;
    private final LongSupplier mNowMs;
    private final NextPlace mNextPlace;
    private final Map<ServiceId, Line> mLines = new HashMap<>();

    /** Tells when a place may become free although nothing happens. */
    public interface NextPlace {
        /**
         * Returns the time at which a target of a service is no longer avoided.
         *
         * @param service the service
         * @param nowMs monotonic clock in milliseconds
         * @return milliseconds of the monotonic clock, {@code Long.MAX_VALUE} if there is none
         */
        long nextPlaceMs(ServiceId service, long nowMs);
    }

    private static final class Line {
        private final WaitingLine<WaitingWork> mWork = new WaitingLine<>();
        private boolean mIsWoken;
        private long mNextCheckMs;
    }

    /**
     * Creates the lines.
     *
     * @param thread the single thread on which all calls and callbacks run
     * @param nextPlace tells when a place may become free although nothing happens
     * @param nowMs monotonic clock in milliseconds
     */
    public ServiceLines(Executor thread, NextPlace nextPlace, LongSupplier nowMs) {
        mThread = thread;
        mNextPlace = nextPlace;
        mNowMs = nowMs;
    }

    // Operations

    /**
     * Adds work to the line of a service.
     *
     * @param service the service
     * @param work the work
     * @param order what determines its place
     */
    public void add(ServiceId service, WaitingWork work, WorkOrder order) {
        mLines.computeIfAbsent(service, s -> new Line()).mWork.add(work, order);
        wake(service);
    }

    /**
     * Offers the work of a service to its targets, as a place may have become free.
     *
     * @param service the service
     */
    public void wake(ServiceId service) {
        Line line = mLines.get(service);
        if (line == null || line.mIsWoken || line.mWork.size() == 0) {
            return;
        }
        line.mIsWoken = true;
        mThread.execute(() -> placeAll(service, line));
    }

    private void placeAll(ServiceId service, Line line) {
        line.mIsWoken = false;
        for (WaitingWork work : line.mWork.byAge()) {
            if (!work.isWaiting()) {
                line.mWork.remove(work);
            }
        }
        Set<Object> unmet = new HashSet<>();
        boolean isPlaced = true;
        while (isPlaced) {
            isPlaced = line.mWork.serve(work -> place(work, unmet)).isPresent();
        }
        long nowMs = mNowMs.getAsLong();
        line.mNextCheckMs = Math.min(nowMs + CHECK_MS, mNextPlace.nextPlaceMs(service, nowMs));
    }

    private static boolean place(WaitingWork work, Set<Object> unmet) {
        if (unmet.contains(work.needs()) || !work.isWaiting()) {
            return false;
        }
        if (work.place()) {
            return true;
        }
        unmet.add(work.needs());
        return false;
    }

    /** Offers work to targets that are no longer avoided. */
    public void tick() {
        long nowMs = mNowMs.getAsLong();
        mLines.forEach(
                (service, line) -> {
                    if (nowMs >= line.mNextCheckMs) {
                        wake(service);
                    }
                });
    }

    // Accessors

    /**
     * Returns the amount of work in all lines.
     *
     * @return number of pieces of work
     */
    public int size() {
        return mLines.values().stream().mapToInt(line -> line.mWork.size()).sum();
    }
}
