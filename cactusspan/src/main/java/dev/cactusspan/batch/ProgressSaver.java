package dev.cactusspan.batch;

import dev.cactusspan.observe.Decision;
import dev.cactusspan.result.FutureResults;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * Saves unfinished texts in the store, so that a process that takes a batch over can resume the
 * long ones, which determine when a step ends, instead of restarting them. Progress that is not
 * saved in time is generated again; a failure of the owner loses nothing else.
 */
final class ProgressSaver {

    /**
     * Minimum time between saves, in milliseconds: a text takes up to 7 s to generate, and each
     * save is paid for as a call to the store.
     */
    private static final long SAVE_INTERVAL_MS = 1_500;

    /** Texts with fewer events are not saved, as they are generated again within half a second. */
    private static final int MIN_EVENTS = 12;

    private final BatchStore mStore;
    private final Executor mThread;
    private final LongSupplier mNowMs;

    ProgressSaver(BatchStore store, Executor thread, LongSupplier nowMs) {
        mStore = store;
        mThread = thread;
        mNowMs = nowMs;
    }

    void tick(OwnedBatch owned) {
        if (owned.isSaveDue(mNowMs.getAsLong(), SAVE_INTERVAL_MS, MIN_EVENTS)) {
            save(owned);
        }
    }

    /** Saves the unfinished texts of a batch now. */
    void save(OwnedBatch owned) {
        List<ItemProgress> progress =
                owned.runs().stream()
                        .filter(run -> run.eventCount() >= MIN_EVENTS)
                        .map(ItemRun::progress)
                        .flatMap(Optional::stream)
                        .toList();
        if (progress.isEmpty()) {
            return;
        }
        owned.startSave(mNowMs.getAsLong());
        FutureResults.deliver(
                mStore.saveProgress(owned.batch().id(), owned.revision(), progress),
                mThread,
                r -> {
                    owned.onSaved();
                    Decision.of("progress_kept")
                            .with("batch", owned.batch().id().value())
                            .with("texts", progress.size())
                            .with("failure", r.fold(Object::toString, revision -> ""))
                            .info();
                });
    }
}
