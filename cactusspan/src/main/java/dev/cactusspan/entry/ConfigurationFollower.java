package dev.cactusspan.entry;

import com.google.common.flogger.FluentLogger;
import dev.cactusspan.config.Configuration;
import dev.cactusspan.config.DocumentStore;
import dev.cactusspan.config.KeyWatcher;
import dev.cactusspan.config.StoredDocument;
import dev.cactusspan.id.Revision;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.result.Result;
import dev.cactusspan.routing.Backoff;
import dev.cactusspan.settings.EntrySettings;
import dev.cactusspan.text.Gzip;
import dev.cactusspan.text.JsonText;
import dev.cactusspan.weight.WeightVersions;
import dev.cactusspan.wire.Message;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

/** Follows the environment document and the desired weights in the key-value service. */
final class ConfigurationFollower {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final long BACKOFF_BASE_MS = 100;
    private static final long BACKOFF_MAX_MS = 2_000;
    private static final int MAX_VALUE_BYTES = 1 << 20;

    private final KeyWatcher mDocumentWatcher;
    private final KeyWatcher mWeightsWatcher;
    private final AtomicReference<Optional<Configuration>> mConfiguration =
            new AtomicReference<>(Optional.empty());
    private final Map<Message.Update.Subject, Message.Update> mUpdates =
            new EnumMap<>(Message.Update.Subject.class);
    private final AtomicReference<WeightVersions> mDesiredWeights =
            new AtomicReference<>(WeightVersions.EMPTY);

    ConfigurationFollower(
            EntrySettings settings,
            KeyValueService keyValues,
            Executor thread,
            LongSupplier nowMs,
            SplittableRandom random) {
        Backoff backoff = new Backoff(BACKOFF_BASE_MS, BACKOFF_MAX_MS, random);
        mDocumentWatcher =
                new KeyWatcher(
                        keyValues,
                        DocumentStore.key(settings.environment(), settings.stage()),
                        thread,
                        backoff,
                        nowMs,
                        this::onDocument);
        mWeightsWatcher =
                new KeyWatcher(
                        keyValues,
                        WeightStore.key(settings.environment()),
                        thread,
                        backoff,
                        nowMs,
                        this::onWeights);
    }

    // Operations

    void tick() {
        mDocumentWatcher.tick();
        mWeightsWatcher.tick();
    }

    private void onDocument(KeyValueService.Entry entry) {
        storeUpdate(Message.Update.Subject.DOCUMENT, entry);
        Result<StoredDocument> stored = DocumentStore.decode(entry);
        stored.flatMap(Configuration::of)
                .fold(
                        failure -> {
                            sLog.atSevere().log(
                                    "rejected the environment document of revision %d: %s",
                                    entry.version(), failure);
                            return null;
                        },
                        configuration -> {
                            mConfiguration.set(Optional.of(configuration));
                            sLog.atInfo().log("revision %s is in force", configuration.revision());
                            return null;
                        });
    }

    private void onWeights(KeyValueService.Entry entry) {
        storeUpdate(Message.Update.Subject.WEIGHTS, entry);
        JsonText.read(entry.value(), WeightVersions.class)
                .fold(
                        failure -> {
                            sLog.atSevere().log("rejected the desired weights: %s", failure);
                            return null;
                        },
                        weights -> {
                            mDesiredWeights.set(weights);
                            return null;
                        });
    }

    /** Applies the desired weights at once, after this process raised them. */
    void applyWeights(KeyValueService.Entry entry) {
        mWeightsWatcher.accept(entry);
    }

    /** Applies a value from another entry and returns whether it was newer. */
    boolean applyUpdate(Message.Update update) {
        KeyWatcher watcher = watcher(update.subject());
        if (update.version() <= watcher.version()) {
            return false;
        }
        return Gzip.decompress(update.value(), MAX_VALUE_BYTES)
                .map(value -> new KeyValueService.Entry(update.version(), value))
                .fold(
                        failure -> false,
                        entry -> {
                            watcher.accept(entry);
                            return true;
                        });
    }

    private KeyWatcher watcher(Message.Update.Subject subject) {
        return switch (subject) {
            case DOCUMENT -> mDocumentWatcher;
            case WEIGHTS -> mWeightsWatcher;
        };
    }

    /** Records that another entry confirmed its reported versions as the latest at a given time. */
    void confirm(long confirmedMs, Map<Message.Update.Subject, Long> confirmedVersions) {
        confirmedVersions.forEach(
                (subject, version) -> watcher(subject).confirm(version, confirmedMs));
    }

    /** Switches between watching the platform and relying on updates from other entries. */
    void activate(boolean isActive) {
        mDocumentWatcher.setActive(isActive);
        mWeightsWatcher.setActive(isActive);
    }

    /** Returns the latest known values, as updates for other entries. */
    List<Message.Update> updates() {
        return List.copyOf(mUpdates.values());
    }

    private void storeUpdate(Message.Update.Subject subject, KeyValueService.Entry entry) {
        byte[] value = Gzip.compress(entry.value());
        mUpdates.put(subject, new Message.Update(subject, entry.version(), value));
    }

    // Accessors

    /** Returns the current configuration; safe to call on any thread. */
    Optional<Configuration> configuration() {
        return mConfiguration.get();
    }

    Revision revision() {
        return mConfiguration.get().map(Configuration::revision).orElse(Revision.NONE);
    }

    /** Returns the desired weights; safe to call on any thread. */
    WeightVersions desiredWeights() {
        return mDesiredWeights.get();
    }

    /** Returns the age of the document; called on the entry's thread only. */
    long ageMs() {
        return mDocumentWatcher.ageMs();
    }
}
