package dev.cactusspan.gateway;

import com.google.common.hash.Hashing;
import dev.cactusspan.fleet.DesiredState;
import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.fleet.TargetRecord;
import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.forward.OriginListing;
import dev.cactusspan.forward.OriginRule;
import dev.cactusspan.forward.StreamOrigin;
import dev.cactusspan.forward.StreamOrigins;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.store.KeyStore;
import dev.cactusspan.store.StoredItem;
import dev.cactusspan.store.Transaction;
import dev.cactusspan.text.JsonText;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Keeps the origins of resumable streams in the store, so that a stream can be resumed at any
 * process, also after all of them were restarted. Records expire with a lease.
 */
final class StreamOriginExchange implements StreamOrigins {
    /** Prefix of the records of single streams; a hash of the request id follows. */
    static final String STREAM_PREFIX = "cs/stream/";

    /** Time to live of a record, in milliseconds; the platform's longest lease. */
    private static final long LEASE_TTL_MS = OriginListing.RETENTION_MS;

    /** Time that a stream is withheld for its record, in milliseconds. */
    private static final long RECORD_TIMEOUT_MS = 500;

    /** Time within which an origin is found, in milliseconds. */
    private static final long FIND_TIMEOUT_MS = 500;

    /** Delay after a failed call, in milliseconds. */
    private static final long RETRY_MS = 100;

    /** Maximum number of records in one call, the platform's limit on changes. */
    private static final int MAX_RECORDS = 32;

    /** Maximum number of records that wait for the store; beyond it, the oldest is dropped. */
    private static final int MAX_WAITING = 4_096;

    /** Maximum number of streams whose origin is kept in memory. */
    private static final int MAX_KNOWN = 16_384;

    private final TargetTable mTargets;
    private final Supplier<Optional<DesiredState>> mDesired;
    private final KeyStore mStore;
    private final BooleanSupplier mIsStoreAvailable;
    private final Executor mThread;
    private final LongSupplier mNowMs;
    private final OriginLister mLister;
    private final UnrecordedOrigin mUnrecorded;
    private final RotatingLease mLease;
    private final Map<RouteId, Set<StreamOrigin>> mPresent = new HashMap<>();
    private final Map<RequestId, StreamOrigin> mKnown =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<RequestId, StreamOrigin> eldest) {
                    return size() > MAX_KNOWN;
                }
            };
    private final Deque<Entry> mWaiting = new ArrayDeque<>();
    private final List<Search> mSearches = new ArrayList<>();
    private boolean mIsWriting;
    private long mNextWriteMs;

    StreamOriginExchange(
            TargetTable targets,
            Supplier<Optional<DesiredState>> desired,
            KeyStore store,
            BooleanSupplier isStoreAvailable,
            Executor thread,
            LongSupplier nowMs) {
        mTargets = targets;
        mDesired = desired;
        mStore = store;
        mIsStoreAvailable = isStoreAvailable;
        mThread = thread;
        mNowMs = nowMs;
        mLister = new OriginLister(store, thread, nowMs);
        mUnrecorded = new UnrecordedOrigin(store, thread);
        mLease = new RotatingLease(store, thread, LEASE_TTL_MS, nowMs);
    }

    /** A stream whose record waits for the store. */
    private static final class Entry {
        private final RequestId mId;
        private final FleetRoute mRoute;
        private final StreamOrigin mOrigin;
        private final long mDeadlineMs;
        private final Consumer<Boolean> mConsumer;
        private boolean mIsWithheld = true;

        Entry(
                RequestId id,
                FleetRoute route,
                StreamOrigin origin,
                long deadlineMs,
                Consumer<Boolean> consumer) {
            mId = id;
            mRoute = route;
            mOrigin = origin;
            mDeadlineMs = deadlineMs;
            mConsumer = consumer;
        }

        void complete(boolean mayPass) {
            if (mIsWithheld) {
                mIsWithheld = false;
                mConsumer.accept(mayPass);
            }
        }
    }

    /** A lookup that waits for the store. */
    private static final class Search {
        private final long mDeadlineMs;
        private final Consumer<Result<StreamOrigin>> mConsumer;

        Search(long deadlineMs, Consumer<Result<StreamOrigin>> consumer) {
            mDeadlineMs = deadlineMs;
            mConsumer = consumer;
        }
    }

    // Streams

    @Override
    public boolean mayBegin(FleetRoute route, TargetRecord target) {
        Optional<StreamOrigin> base = mLister.base(route.name());
        StreamOrigin origin = StreamOrigin.of(target);
        return !OriginRule.needsRecord(base, origin)
                || OriginRule.mayBegin(
                        base, origin, present(route), mIsStoreAvailable.getAsBoolean());
    }

    @Override
    public void record(
            RequestId id, FleetRoute route, TargetRecord target, Consumer<Boolean> consumer) {
        StreamOrigin origin = StreamOrigin.of(target);
        mKnown.put(id, origin);
        if (!OriginRule.needsRecord(mLister.base(route.name()), origin)) {
            consumer.accept(true);
            return;
        }
        long nowMs = mNowMs.getAsLong();
        Entry entry = new Entry(id, route, origin, nowMs + RECORD_TIMEOUT_MS, consumer);
        mWaiting.add(entry);
        if (mWaiting.size() > MAX_WAITING) {
            giveUp(mWaiting.poll());
        }
        if (mIsStoreAvailable.getAsBoolean()) {
            writeNext(nowMs);
        } else {
            giveUp(entry);
        }
    }

    /** Ends the withholding of a stream without a record, which is written later if it may pass. */
    private void giveUp(Entry entry) {
        boolean mayPass = OriginRule.mayPassUnrecorded(entry.mOrigin, present(entry.mRoute));
        Decision.of("origin_not_recorded")
                .with("request", entry.mId.value())
                .with("software", entry.mOrigin.software().value())
                .with("may_pass", mayPass)
                .info();
        if (!mayPass) {
            mWaiting.remove(entry);
            mKnown.remove(entry.mId);
        }
        entry.complete(mayPass);
    }

    @Override
    public void find(RequestId id, FleetRoute route, Consumer<Result<StreamOrigin>> consumer) {
        StreamOrigin known = mKnown.get(id);
        if (known != null) {
            consumer.accept(Result.of(known));
            return;
        }
        Search search = new Search(mNowMs.getAsLong() + FIND_TIMEOUT_MS, consumer);
        mSearches.add(search);
        FutureResults.deliver(
                mStore.get(streamKey(id)),
                mThread,
                r ->
                        r.fold(
                                f -> complete(search, Result.fail(f)),
                                item -> onRecordRead(search, id, route, item)));
    }

    private Void onRecordRead(
            Search search, RequestId id, FleetRoute route, Optional<StoredItem> item) {
        item.ifPresentOrElse(
                i -> complete(search, recorded(id, i)),
                () -> mUnrecorded.find(route.name(), origin -> complete(search, origin)));
        return null;
    }

    private Void complete(Search search, Result<StreamOrigin> result) {
        if (mSearches.remove(search)) {
            search.mConsumer.accept(result);
        }
        return null;
    }

    private static Result<StreamOrigin> recorded(RequestId id, StoredItem item) {
        return JsonText.read(item.value(), StreamOrigin.class)
                .fold(
                        f ->
                                Result.fail(
                                        ErrorKind.STREAM_ORIGIN_UNKNOWN,
                                        "the record of " + id + " cannot be read"),
                        Result::of);
    }

    /**
     * Returns the origins of all known targets, as of the latest tick. Those that leave are among
     * them, as other processes may still send to them.
     */
    private Set<StreamOrigin> present(FleetRoute route) {
        return mPresent.computeIfAbsent(
                route.name(),
                name -> {
                    Set<StreamOrigin> present = new HashSet<>();
                    route.shares()
                            .forEach(
                                    s ->
                                            mTargets.records(s.service())
                                                    .map(StreamOrigin::of)
                                                    .forEach(present::add));
                    return present;
                });
    }

    private static String streamKey(RequestId id) {
        return STREAM_PREFIX + Hashing.murmur3_128().hashString(id.value(), StandardCharsets.UTF_8);
    }

    /** Applies a change of a key that another process or this one has written. */
    void onKeyChanged(String key, Optional<StoredItem> item) {
        mLister.onKeyChanged(key, item);
    }

    // Store

    /**
     * Writes what is due.
     *
     * @param isLister true if this process lists the origins of routes
     */
    void tick(boolean isLister) {
        long nowMs = mNowMs.getAsLong();
        mPresent.clear();
        for (Search search : List.copyOf(mSearches)) {
            if (nowMs >= search.mDeadlineMs) {
                complete(
                        search,
                        Result.fail(ErrorKind.PLATFORM_UNAVAILABLE, "the store does not answer"));
            }
        }
        for (Entry entry : List.copyOf(mWaiting)) {
            if (entry.mIsWithheld && nowMs >= entry.mDeadlineMs) {
                giveUp(entry);
            }
        }
        List<FleetRoute> routes =
                mDesired.get().map(DesiredState::resumableRoutes).orElse(List.of());
        if (routes.isEmpty()) {
            return;
        }
        writeNext(nowMs);
        if (isLister) {
            routes.forEach(route -> mLister.tick(route.name(), present(route)));
        }
    }

    private void writeNext(long nowMs) {
        if (mIsWriting || nowMs < mNextWriteMs || mWaiting.isEmpty()) {
            return;
        }
        mIsWriting = true;
        mLease.acquire(r -> r.fold(this::onWriteFailed, this::write));
    }

    private Void write(long lease) {
        List<Entry> entries = mWaiting.stream().limit(MAX_RECORDS).toList();
        List<Transaction.Write> writes =
                entries.stream()
                        .map(
                                e ->
                                        new Transaction.Write(
                                                streamKey(e.mId), JsonText.write(e.mOrigin), lease))
                        .toList();
        FutureResults.deliver(
                mStore.commit(Transaction.of(List.of(), writes)),
                mThread,
                r ->
                        r.fold(
                                this::onWriteFailed,
                                revision -> {
                                    mIsWriting = false;
                                    mWaiting.removeAll(entries);
                                    entries.forEach(e -> e.complete(true));
                                    writeNext(mNowMs.getAsLong());
                                    return null;
                                }));
        return null;
    }

    private Void onWriteFailed(Failure failure) {
        mIsWriting = false;
        if (failure.kind() == ErrorKind.NOT_FOUND) {
            mLease.drop();
        }
        mNextWriteMs = mNowMs.getAsLong() + RETRY_MS;
        if (!mWaiting.isEmpty()) {
            Decision.of("origins_not_written")
                    .with("streams", mWaiting.size())
                    .with("reason", failure.toString())
                    .info();
        }
        return null;
    }
}
