package dev.cactusspan.gateway;

import dev.cactusspan.forward.OriginRule;
import dev.cactusspan.forward.StreamOrigin;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.platform.PlatformReader;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.store.KeyStore;
import dev.cactusspan.store.StoredItem;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Finds where streams without a record began. What this process knows of origins and targets may be
 * seconds old, so it is read from the store: the list of the route's origins, and while there are
 * several, the targets. Searches that come while the targets are read share the next reading.
 */
final class UnrecordedOrigin {
    private final KeyStore mStore;
    private final Executor mThread;
    private final List<Consumer<Result<Set<StreamOrigin>>>> mWaiting = new ArrayList<>();
    private boolean mIsReading;

    UnrecordedOrigin(KeyStore store, Executor thread) {
        mStore = store;
        mThread = thread;
    }

    // Operations

    /**
     * Finds the origin of a route's stream that has no record.
     *
     * @param route the route
     * @param consumer receives the origin; {@code stream_origin_unknown} if the stream may have
     *     begun at more than one
     */
    void find(RouteId route, Consumer<Result<StreamOrigin>> consumer) {
        FutureResults.deliver(
                mStore.get(OriginLister.PREFIX + route.value()),
                mThread,
                r ->
                        r.fold(
                                f -> pass(consumer, Result.fail(f)),
                                list -> onListRead(route, list, consumer)));
    }

    private Void onListRead(
            RouteId route, Optional<StoredItem> list, Consumer<Result<StreamOrigin>> consumer) {
        List<StreamOrigin> listed = list.map(OriginLister::read).orElse(List.of());
        if (listed.size() <= 1) {
            return pass(consumer, origin(route, listed, Set.copyOf(listed)));
        }
        mWaiting.add(present -> consumer.accept(present.flatMap(p -> origin(route, listed, p))));
        readTargets();
        return null;
    }

    private static Result<StreamOrigin> origin(
            RouteId route, List<StreamOrigin> listed, Set<StreamOrigin> present) {
        return OriginRule.unrecorded(listed, present)
                .map(Result::of)
                .orElse(
                        Result.fail(
                                ErrorKind.STREAM_ORIGIN_UNKNOWN,
                                "no record, and route " + route + " has origins " + listed));
    }

    // Targets

    private void readTargets() {
        if (mIsReading || mWaiting.isEmpty()) {
            return;
        }
        mIsReading = true;
        List<Consumer<Result<Set<StreamOrigin>>>> consumers = List.copyOf(mWaiting);
        mWaiting.clear();
        readPage("", new HashSet<>(), consumers);
    }

    private void readPage(
            String after,
            Set<StreamOrigin> present,
            List<Consumer<Result<Set<StreamOrigin>>>> consumers) {
        FutureResults.deliver(
                mStore.range(PlatformReader.TARGET_PREFIX, after),
                mThread,
                r ->
                        r.fold(
                                f -> endReading(Result.fail(f), consumers),
                                page -> onPageRead(page, present, consumers)));
    }

    private Void onPageRead(
            KeyStore.Page page,
            Set<StreamOrigin> present,
            List<Consumer<Result<Set<StreamOrigin>>>> consumers) {
        String last = "";
        for (StoredItem item : page.items()) {
            last = item.key();
            PlatformReader.target(item.key(), item.value()).map(StreamOrigin::of).map(present::add);
        }
        if (!page.hasMore() || last.isEmpty()) {
            return endReading(Result.of(present), consumers);
        }
        readPage(last, present, consumers);
        return null;
    }

    private Void endReading(
            Result<Set<StreamOrigin>> present,
            List<Consumer<Result<Set<StreamOrigin>>>> consumers) {
        mIsReading = false;
        consumers.forEach(consumer -> consumer.accept(present));
        readTargets();
        return null;
    }

    private static Void pass(Consumer<Result<StreamOrigin>> consumer, Result<StreamOrigin> result) {
        consumer.accept(result);
        return null;
    }
}
