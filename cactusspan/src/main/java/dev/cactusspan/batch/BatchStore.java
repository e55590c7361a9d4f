package dev.cactusspan.batch;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusspan.id.BatchId;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.region.Residency;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.Result;
import dev.cactusspan.store.KeyStore;
import dev.cactusspan.store.StoredItem;
import dev.cactusspan.store.Transaction;
import dev.cactusspan.store.Transaction.Expectation;
import dev.cactusspan.store.Transaction.Write;
import dev.cactusspan.text.Gzip;
import dev.cactusspan.text.JsonText;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Stores the durable records of batches. A batch consists of the parts of its submitted content,
 * result parts keyed by the position of their first result, and the owner key. Each append expects
 * the owner key unchanged, so that a former owner cannot append.
 */
public final class BatchStore {
    /** Prefix of the owner keys, followed by the batch id. */
    public static final String OWNER_PREFIX = "cs/owner/";

    private static final String DATA_PREFIX = "cs/batch/";

    /**
     * Maximum size of a part, well below the platform's limit on a value, which applies to its
     * base64 encoding.
     */
    private static final int PART_BYTES = 512 << 10;

    private static final int MAX_EXPANDED_BYTES = 64 << 20;
    private static final int MAX_KEYS = 32;

    private final KeyStore mStore;

    /**
     * Creates a batch store.
     *
     * @param store the underlying key store
     */
    public BatchStore(KeyStore store) {
        mStore = store;
    }

    // Operations

    /**
     * Creates a batch.
     *
     * @param batch the batch as submitted
     * @param ownership its first owner
     * @return revision of the owner key; {@code conflict} if the batch exists
     */
    public CompletableFuture<Result<Long>> create(Batch batch, BatchOwnership ownership) {
        byte[] compressed = Gzip.compress(JsonText.write(batch));
        List<Write> writes = new ArrayList<>();
        for (int from = 0; from < compressed.length; from += PART_BYTES) {
            byte[] part =
                    Arrays.copyOfRange(
                            compressed, from, Math.min(compressed.length, from + PART_BYTES));
            writes.add(new Write(partKey(batch.id(), writes.size()), part, 0));
        }
        if (writes.size() >= MAX_KEYS) {
            return CompletableFuture.completedFuture(
                    Result.fail(ErrorKind.PAYLOAD_TOO_LARGE, "the batch has too many parts"));
        }
        writes.add(new Write(ownerKey(batch.id()), JsonText.write(ownership), 0));
        return mStore.within(batch.residency())
                .commit(Transaction.of(List.of(new Expectation(ownerKey(batch.id()), 0)), writes));
    }

    /**
     * Appends results.
     *
     * @param batch the batch
     * @param ownerRevision expected revision of the owner key
     * @param position position of the first result
     * @param results the results
     * @return revision of the change; {@code conflict} if the owner has changed
     */
    public CompletableFuture<Result<Long>> append(
            BatchId batch, long ownerRevision, int position, List<ItemResult> results) {
        String key = resultKey(batch, position);
        return mStore.commit(
                Transaction.of(
                        List.of(
                                new Expectation(ownerKey(batch), ownerRevision),
                                new Expectation(key, 0)),
                        List.of(new Write(key, Gzip.compress(JsonText.write(results)), 0))));
    }

    /**
     * Saves the progress of unfinished texts, replacing what was saved before.
     *
     * @param batch the batch
     * @param ownerRevision expected revision of the owner key
     * @param progress the progress of each text
     * @return revision of the change; {@code conflict} if the owner has changed, {@code
     *     payload_too_large} if the texts are too long to be saved
     */
    public CompletableFuture<Result<Long>> saveProgress(
            BatchId batch, long ownerRevision, List<ItemProgress> progress) {
        byte[] compressed = Gzip.compress(JsonText.write(progress));
        if (compressed.length > PART_BYTES) {
            return CompletableFuture.completedFuture(
                    Result.fail(ErrorKind.PAYLOAD_TOO_LARGE, "the texts are too long to be kept"));
        }
        return mStore.commit(
                Transaction.of(
                        List.of(new Expectation(ownerKey(batch), ownerRevision)),
                        List.of(new Write(progressKey(batch), compressed, 0))));
    }

    /**
     * Updates the owner key.
     *
     * @param ownership its new value
     * @param expectedRevision expected revision of the key
     * @return revision of the change, or {@code conflict}
     */
    public CompletableFuture<Result<Long>> putOwnership(
            BatchOwnership ownership, long expectedRevision) {
        String key = ownerKey(ownership.id());
        return mStore.commit(
                Transaction.of(
                        List.of(new Expectation(key, expectedRevision)),
                        List.of(new Write(key, JsonText.write(ownership), 0))));
    }

    /**
     * Reads the owner key.
     *
     * @param batch the batch
     * @return the stored item, empty if there is no such batch
     */
    public CompletableFuture<Result<Optional<StoredItem>>> readOwnerKey(BatchId batch) {
        return mStore.get(ownerKey(batch));
    }

    /**
     * Reads a batch and its results.
     *
     * @param batch the batch
     * @param residency regions to which it is bound
     * @return the batch; {@code not_found} if there is none
     */
    public CompletableFuture<Result<StoredBatch>> load(BatchId batch, Residency residency) {
        return loadPage(mStore.within(residency), dataPrefix(batch), "", new ArrayList<>())
                .thenApply(r -> r.flatMap(items -> assemble(batch, items)));
    }

    /**
     * Reads the results of a batch without the bodies of its items.
     *
     * @param batch the batch
     * @return the results in the order of their positions, empty if there are none
     */
    public CompletableFuture<Result<List<ItemResult>>> loadResults(BatchId batch) {
        return loadPage(mStore, resultPrefix(batch), "", new ArrayList<>())
                .thenApply(r -> r.flatMap(BatchStore::parseResults));
    }

    private static Result<List<ItemResult>> parseResults(List<StoredItem> items) {
        List<ItemResult> results = new ArrayList<>();
        for (StoredItem item : items) {
            Result<List<ItemResult>> part = parseList(item.value(), ItemResult.class);
            if (!part.isOk()) {
                return part;
            }
            results.addAll(part.get());
        }
        return Result.of(results);
    }

    private static CompletableFuture<Result<List<StoredItem>>> loadPage(
            KeyStore store, String prefix, String after, List<StoredItem> items) {
        return store.range(prefix, after)
                .thenCompose(
                        result ->
                                result.fold(
                                        f -> CompletableFuture.completedFuture(Result.fail(f)),
                                        page -> {
                                            items.addAll(page.items());
                                            if (!page.hasMore() || page.items().isEmpty()) {
                                                return CompletableFuture.completedFuture(
                                                        Result.of(items));
                                            }
                                            String last = items.get(items.size() - 1).key();
                                            return loadPage(store, prefix, last, items);
                                        }));
    }

    private static Result<StoredBatch> assemble(BatchId id, List<StoredItem> items) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        List<ItemResult> results = new ArrayList<>();
        List<ItemProgress> progress = new ArrayList<>();
        for (StoredItem item : items) {
            if (item.key().startsWith(dataPrefix(id) + "part/")) {
                compressed.writeBytes(item.value());
            } else if (item.key().equals(progressKey(id))) {
                // Unreadable progress is ignored; the texts are generated again.
                parseList(item.value(), ItemProgress.class)
                        .fold(f -> logUnreadable(item.key(), f), progress::addAll);
            } else {
                Result<List<ItemResult>> part = parseList(item.value(), ItemResult.class);
                if (!part.isOk()) {
                    return part.map(r -> new StoredBatch(null, r, List.of()));
                }
                results.addAll(part.get());
            }
        }
        if (compressed.size() == 0) {
            return Result.fail(ErrorKind.NOT_FOUND, "no batch " + id);
        }
        return Gzip.decompress(compressed.toByteArray(), MAX_EXPANDED_BYTES)
                .flatMap(bytes -> JsonText.read(bytes, Batch.class))
                .map(batch -> new StoredBatch(batch, results, progress));
    }

    private static <T> Result<List<T>> parseList(byte[] compressed, Class<T> type) {
        return Gzip.decompress(compressed, MAX_EXPANDED_BYTES)
                .flatMap(bytes -> JsonText.read(bytes, JsonNode.class))
                .map(
                        node -> {
                            List<T> list = new ArrayList<>();
                            node.forEach(n -> list.add(JsonText.mapper().convertValue(n, type)));
                            return list;
                        });
    }

    private static boolean logUnreadable(String key, Failure failure) {
        Decision.of("unreadable_value").with("key", key).with("reason", failure.detail()).warn();
        return false;
    }

    /**
     * Parses the value of an owner key.
     *
     * @param item the stored item
     * @return the ownership, or {@code bad_request}
     */
    public static Result<BatchOwnership> parseOwnership(StoredItem item) {
        return JsonText.read(item.value(), BatchOwnership.class);
    }

    /**
     * Returns the batch id contained in an owner key.
     *
     * @param key the key
     * @return the batch id
     */
    public static BatchId batchIdOf(String key) {
        return BatchId.of(key.substring(OWNER_PREFIX.length()));
    }

    private static String ownerKey(BatchId batch) {
        return OWNER_PREFIX + batch.value();
    }

    private static String dataPrefix(BatchId batch) {
        return DATA_PREFIX + batch.value() + "/";
    }

    private static String partKey(BatchId batch, int number) {
        return String.format("%spart/%04d", dataPrefix(batch), number);
    }

    private static String progressKey(BatchId batch) {
        return dataPrefix(batch) + "progress";
    }

    private static String resultKey(BatchId batch, int position) {
        return String.format("%s%08d", resultPrefix(batch), position);
    }

    private static String resultPrefix(BatchId batch) {
        return dataPrefix(batch) + "result/";
    }
}
