package dev.cactusspan.intake;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * The connections of one address. Load pattern: crowds that send or read very slowly, or stop
 * half-way and stay. Each caller must make progress over a window; when connections or memory run
 * out, the caller that is furthest behind an ordinary one is closed first, so that ordinary callers
 * need not wait for the end of a window. Closed before a request was read, or answered that it has
 * not run, an ordinary caller among them can try again. All methods run on one I/O thread.
 */
public final class Callers {
    /**
     * Time over which a caller must make progress, in milliseconds: a few round trips, and longer
     * than a lost packet takes to be sent again.
     */
    private static final long WINDOW_MS = 4_000;

    /** Bytes within a window below which a caller counts as stopped: a packet a second. */
    private static final long MIN_WINDOW_BYTES = 6_000;

    /**
     * Lag below which a caller is not closed for another, in milliseconds: a round trip of the
     * longest links between regions.
     */
    private static final long MIN_LAG_MS = 250;

    /** Callers closed for one request, so that a large one does not clear the address. */
    private static final int MAX_EVICTIONS = 16;

    /** Fixed memory of a request: objects of the exchange, the route's and the forwarder's. */
    private static final long REQUEST_BYTES = 8 << 10;

    /** Factor from the bytes of a header to its memory, as names and values are kept as texts. */
    private static final long HEADER_FACTOR = 3;

    private final MemoryBudget mBudget;
    private final Supplier<CallerLimits> mLimits;
    private final BiConsumer<Refusal, Long> mOnRefusal;
    private final Set<Caller> mCallers = new LinkedHashSet<>();

    /**
     * Creates an empty set.
     *
     * @param budget memory that all callers share
     * @param limits the limits in force
     * @param onRefusal receives each refusal with the time in milliseconds
     */
    public Callers(
            MemoryBudget budget,
            Supplier<CallerLimits> limits,
            BiConsumer<Refusal, Long> onRefusal) {
        mBudget = budget;
        mLimits = limits;
        mOnRefusal = onRefusal;
    }

    // Connections

    /**
     * Admits a connection; at the limit, the one that makes the least progress is closed for it.
     *
     * @param nowMs the steady clock in milliseconds
     * @param evict closes the connection, with an answer if a request was begun
     * @return its state, empty if it is to be closed at once
     */
    public Optional<Caller> open(long nowMs, Runnable evict) {
        if (mCallers.size() >= mLimits.get().maxConnections()) {
            Optional<Caller> victim = slowest(nowMs, c -> true).or(() -> longestIdle(nowMs));
            if (victim.isEmpty()) {
                mOnRefusal.accept(Refusal.CONNECTIONS, nowMs);
                return Optional.empty();
            }
            evict(victim.get(), Refusal.CONNECTIONS, nowMs);
        }
        Caller caller = new Caller(nowMs, evict);
        mCallers.add(caller);
        return Optional.of(caller);
    }

    private Optional<Caller> slowest(long nowMs, Predicate<Caller> isCandidate) {
        return mCallers.stream()
                .filter(c -> c.isAwaited() && c.lagMs(nowMs) >= MIN_LAG_MS && isCandidate.test(c))
                .max(Comparator.comparingLong(c -> c.lagMs(nowMs)));
    }

    private Optional<Caller> longestIdle(long nowMs) {
        return mCallers.stream()
                .filter(c -> c.phase() == Caller.Phase.IDLE && c.ageMs(nowMs) >= MIN_LAG_MS)
                .max(
                        Comparator.comparing((Caller c) -> !c.wasServed())
                                .thenComparingLong(c -> c.ageMs(nowMs)));
    }

    private void evict(Caller caller, Refusal reason, long nowMs) {
        mOnRefusal.accept(reason, nowMs);
        close(caller, nowMs);
        caller.evict();
    }

    /**
     * Removes a connection that was closed, and returns what was held for it.
     *
     * @param caller its state
     * @param nowMs the steady clock in milliseconds
     */
    public void close(Caller caller, long nowMs) {
        mCallers.remove(caller);
        caller.onEnd(nowMs);
    }

    // Requests

    /**
     * Counts bytes that a connection sent. Those of a header, or of a request that is sent ahead,
     * take memory until the present request ends.
     *
     * @param caller its state
     * @param bytes how many
     * @param nowMs the steady clock in milliseconds
     * @return false if there is no room for them, so that the connection is to be closed
     */
    public boolean onRead(Caller caller, long bytes, long nowMs) {
        if (!mCallers.contains(caller)) {
            // It is being closed; what it still sends is discarded.
            return true;
        }
        boolean isFirst = caller.phase() == Caller.Phase.IDLE;
        caller.onRead(bytes, nowMs);
        if (caller.phase() == Caller.Phase.BODY) {
            return true;
        }
        if (isFirst) {
            caller.setHold(newHold());
        }
        boolean isHeader = caller.phase() == Caller.Phase.HEAD;
        return grow(caller, isHeader ? HEADER_FACTOR * bytes : bytes, nowMs);
    }

    /**
     * Counts bytes of a response that a connection took.
     *
     * @param caller its state
     * @param bytes how many, zero if it took none
     * @param hasMore true if bytes of the response are left
     * @param nowMs the steady clock in milliseconds
     */
    public void onWrite(Caller caller, long bytes, boolean hasMore, long nowMs) {
        caller.onWrite(bytes, nowMs);
        if (!hasMore) {
            caller.onFlushed();
        }
    }

    /**
     * Holds memory for a request whose header is complete.
     *
     * @param caller its connection
     * @param headerBytes size of the header
     * @param bodyBytes length of the body, zero if it is not known yet
     * @param nowMs the steady clock in milliseconds
     * @return the hold, empty if the request is to be refused
     */
    public Optional<Hold> onHead(Caller caller, long headerBytes, long bodyBytes, long nowMs) {
        caller.setHold(newHold());
        caller.setStreamHold(newHold());
        caller.onHead(nowMs);
        long bytes = REQUEST_BYTES + HEADER_FACTOR * headerBytes + bodyBytes;
        return grow(caller, bytes, nowMs) ? Optional.of(caller.hold()) : Optional.empty();
    }

    /**
     * Holds more memory for a request.
     *
     * @param caller its connection
     * @param bytes what is added to the hold
     * @param nowMs the steady clock in milliseconds
     * @return false if there is no room, also after slower callers were closed
     */
    public boolean grow(Caller caller, long bytes, long nowMs) {
        if (!mCallers.contains(caller)) {
            return false;
        }
        return resize(caller, caller.hold(), caller.hold().bytes() + bytes, nowMs);
    }

    private boolean resize(Caller caller, Hold hold, long wanted, long nowMs) {
        for (int i = 0; i < MAX_EVICTIONS; i++) {
            if (hold.resize(wanted)) {
                return true;
            }
            if (!makeRoom(caller, wanted, nowMs)) {
                break;
            }
        }
        mOnRefusal.accept(Refusal.MEMORY, nowMs);
        return false;
    }

    /**
     * Holds memory for a response instead of its request, which is no longer needed.
     *
     * @param caller its connection
     * @param bytes size of the response
     * @param nowMs the steady clock in milliseconds
     * @return false if there is no room, so that the connection is to be closed
     */
    public boolean onResponse(Caller caller, long bytes, long nowMs) {
        caller.hold().resize(Math.min(caller.hold().bytes(), REQUEST_BYTES));
        return grow(caller, bytes, nowMs);
    }

    /**
     * Holds memory for the part of a stream that waits to be written, beside its request, which is
     * kept until the stream ends.
     *
     * @param caller its connection
     * @param bytes bytes that wait
     * @param nowMs the steady clock in milliseconds
     * @return false if there is no room, so that the connection is to be closed
     */
    public boolean onStream(Caller caller, long bytes, long nowMs) {
        return mCallers.contains(caller) && resize(caller, caller.streamHold(), bytes, nowMs);
    }

    private Hold newHold() {
        return mBudget.reserve(0).orElse(Hold.UNLIMITED);
    }

    /** Closes the slowest caller that holds memory in the way of a request of the given size. */
    private boolean makeRoom(Caller caller, long bytes, long nowMs) {
        SizeClass sizeClass = SizeClass.of(bytes);
        Optional<Caller> victim =
                slowest(
                        nowMs,
                        c ->
                                c != caller
                                        && c.largestHoldBytes() > 0
                                        && (sizeClass == SizeClass.SMALL
                                                || SizeClass.of(c.largestHoldBytes())
                                                        != SizeClass.SMALL));
        victim.ifPresent(v -> evict(v, Refusal.MEMORY, nowMs));
        return victim.isPresent();
    }

    /**
     * Counts a refusal that the reader of a request has decided.
     *
     * @param reason why
     * @param nowMs the steady clock in milliseconds
     */
    public void refuse(Refusal reason, long nowMs) {
        mOnRefusal.accept(reason, nowMs);
    }

    /**
     * Notes that the body of a request is complete.
     *
     * @param caller its connection
     * @param nowMs the steady clock in milliseconds
     */
    public void onBody(Caller caller, long nowMs) {
        caller.onBody(nowMs);
    }

    /**
     * Notes that a response is complete, and returns what was held for its request.
     *
     * @param caller its connection
     * @param nowMs the steady clock in milliseconds
     */
    public void onEnd(Caller caller, long nowMs) {
        caller.onEnd(nowMs);
    }

    // Time

    /**
     * Closes connections that exceed a time limit.
     *
     * @param nowMs the steady clock in milliseconds
     */
    public void tick(long nowMs) {
        CallerLimits limits = mLimits.get();
        List<Caller> late = new ArrayList<>();
        for (Caller caller : mCallers) {
            if (isLate(caller, limits, nowMs)) {
                late.add(caller);
            }
        }
        for (Caller caller : late) {
            if (caller.isAwaited()) {
                evict(caller, Refusal.PACE, nowMs);
            } else {
                close(caller, nowMs);
                caller.evict();
            }
        }
    }

    private static boolean isLate(Caller caller, CallerLimits limits, long nowMs) {
        if (caller.phase() == Caller.Phase.BODY || caller.isAnswerBlocked()) {
            long windowBytes = caller.endWindow(WINDOW_MS, nowMs);
            return windowBytes >= 0 && windowBytes < MIN_WINDOW_BYTES;
        }
        return switch (caller.phase()) {
            case IDLE -> caller.ageMs(nowMs) > limits.idleTimeoutMs();
            case HEAD -> caller.ageMs(nowMs) > limits.headerTimeoutMs();
            default -> false;
        };
    }

    // Accessors

    /**
     * Returns the limits in force.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return mLimits.get();
    }

    /**
     * Returns the number of open connections.
     *
     * @return how many
     */
    public int size() {
        return mCallers.size();
    }
}
