package dev.cactusspan.gateway;

import dev.cactusspan.forward.OriginListing;
import dev.cactusspan.forward.StreamOrigin;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.store.KeyStore;
import dev.cactusspan.store.StoredItem;
import dev.cactusspan.store.Transaction;
import dev.cactusspan.store.Transaction.Expectation;
import dev.cactusspan.store.Transaction.Write;
import dev.cactusspan.text.JsonText;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/** Keeps the lists of the origins of each route's streams in the store, for all processes. */
final class OriginLister {
    /** Prefix of the lists; the route follows. */
    static final String PREFIX = FleetView.CONTROL_PREFIX + "origins/";

    /** Delay between two changes, in milliseconds. */
    private static final long CHANGE_INTERVAL_MS = 100;

    private final KeyStore mStore;
    private final Executor mThread;
    private final LongSupplier mNowMs;
    private final OriginListing mListing = new OriginListing();
    private boolean mIsWriting;
    private long mNextMs;

    OriginLister(KeyStore store, Executor thread, LongSupplier nowMs) {
        mStore = store;
        mThread = thread;
        mNowMs = nowMs;
        mNextMs = nowMs.getAsLong();
    }

    // Operations

    /** Writes the change of a route's list that is due; only one process does so at a time. */
    void tick(RouteId route, Set<StreamOrigin> present) {
        long nowMs = mNowMs.getAsLong();
        if (!mIsWriting && nowMs >= mNextMs) {
            mListing.nextChange(route, present, nowMs).ifPresent(this::write);
        }
    }

    private void write(OriginListing.Change change) {
        mIsWriting = true;
        String key = PREFIX + change.route().value();
        Transaction transaction =
                Transaction.of(
                        List.of(new Expectation(key, change.expectedRevision())),
                        List.of(new Write(key, JsonText.write(change.origins()), 0)));
        FutureResults.deliver(
                mStore.commit(transaction),
                mThread,
                r -> {
                    mIsWriting = false;
                    mNextMs = mNowMs.getAsLong() + CHANGE_INTERVAL_MS;
                    Decision.of("origins_listed")
                            .with("route", change.route().value())
                            .with("origins", change.origins().toString())
                            .with("failure", r.fold(Failure::toString, revision -> ""))
                            .info();
                });
    }

    /** Applies a change of a list that another process or this one has written. */
    void onKeyChanged(String key, Optional<StoredItem> item) {
        if (!key.startsWith(PREFIX)) {
            return;
        }
        List<StreamOrigin> origins = item.map(OriginLister::read).orElse(List.of());
        mListing.onListed(
                RouteId.of(key.substring(PREFIX.length())),
                origins,
                item.map(StoredItem::revision).orElse(0L));
    }

    /** Reads a list from its item; one that cannot be read is empty. */
    static List<StreamOrigin> read(StoredItem item) {
        return JsonText.read(item.value(), StreamOrigin[].class)
                .fold(
                        f -> {
                            Decision.of("unreadable_value")
                                    .with("key", item.key())
                                    .with("reason", f.detail())
                                    .warn();
                            return List.of();
                        },
                        List::of);
    }

    // Accessors

    /** Returns the origin of a route's streams that have no record, empty if it is not known. */
    Optional<StreamOrigin> base(RouteId route) {
        return mListing.base(route);
    }
}
