package dev.cactusspan.config;

import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Documents in the key-value service. Trial and production have one key each, which holds text and
 * revision; the key's own version is the revision, so that a compare-and-swap on the version is one
 * on the revision.
 */
public final class DocumentStore {
    private final KeyValueService mKeyValues;

    /**
     * Creates a store.
     *
     * @param keyValues the key-value service
     */
    public DocumentStore(KeyValueService keyValues) {
        mKeyValues = keyValues;
    }

    /**
     * Returns the key of a document.
     *
     * @param environment the environment
     * @param stage the stage
     * @return the key
     */
    public static String key(EnvironmentId environment, Stage stage) {
        return "config/" + environment + "/" + stage.wireName();
    }

    /**
     * Decodes a document from its entry.
     *
     * @param entry the entry
     * @return the document, or why it cannot be read
     */
    public static Result<StoredDocument> decode(KeyValueService.Entry entry) {
        return JsonText.read(entry.value(), Value.class)
                .map(v -> new StoredDocument(Revision.of(entry.version()), v.text()));
    }

    /**
     * Reads a document.
     *
     * @param environment the environment
     * @param stage the stage
     * @return the document, or {@code not_found}
     */
    public CompletableFuture<Result<StoredDocument>> get(EnvironmentId environment, Stage stage) {
        return mKeyValues
                .get(key(environment, stage))
                .thenApply(r -> r.flatMap(entry -> decodePresent(environment, stage, entry)));
    }

    private static Result<StoredDocument> decodePresent(
            EnvironmentId environment, Stage stage, Optional<KeyValueService.Entry> entry) {
        if (entry.isEmpty()) {
            return Result.fail(
                    ErrorKind.NOT_FOUND, "no " + stage.wireName() + " document of " + environment);
        }
        return decode(entry.get());
    }

    /**
     * Writes the trial document.
     *
     * @param environment the environment
     * @param text the new text, checked before anything is written
     * @param expected the revision to replace, {@link Revision#NONE} to create
     * @return the new revision, or {@code conflict} with the current one
     */
    public CompletableFuture<Result<Revision>> put(
            EnvironmentId environment, String text, Revision expected) {
        return write(environment, Stage.TRIAL, text, expected);
    }

    /**
     * Copies the trial document to production.
     *
     * @param environment the environment
     * @param trial the trial revision to promote
     * @param expected the production revision to replace, {@link Revision#NONE} to create
     * @return the new production revision, or {@code conflict} with the current one
     */
    public CompletableFuture<Result<Revision>> promote(
            EnvironmentId environment, Revision trial, Revision expected) {
        return get(environment, Stage.TRIAL)
                .thenCompose(
                        r ->
                                r.fold(
                                        f -> CompletableFuture.completedFuture(Result.fail(f)),
                                        d -> promote(environment, d, trial, expected)));
    }

    private CompletableFuture<Result<Revision>> promote(
            EnvironmentId environment, StoredDocument found, Revision trial, Revision expected) {
        if (!found.revision().equals(trial)) {
            return CompletableFuture.completedFuture(
                    Result.fail(
                            ErrorKind.CONFLICT,
                            "trial is at revision " + found.revision() + ", not " + trial));
        }
        return write(environment, Stage.PRODUCTION, found.text(), expected);
    }

    private CompletableFuture<Result<Revision>> write(
            EnvironmentId environment, Stage stage, String text, Revision expected) {
        Result<EnvironmentDocument> read = DocumentReader.read("document", text);
        Result<EnvironmentDocument> checked = read.flatMap(d -> checkEnvironment(environment, d));
        if (!checked.isOk()) {
            return CompletableFuture.completedFuture(checked.map(d -> Revision.NONE));
        }
        byte[] value = JsonText.write(new Value(text));
        return mKeyValues
                .compareAndSwap(key(environment, stage), expected.number(), value)
                .thenCompose(
                        r ->
                                r.fold(
                                        f ->
                                                resolveFailedWrite(
                                                        environment, stage, f, text, expected),
                                        v -> completed(Result.of(Revision.of(v)))));
    }

    private static Result<EnvironmentDocument> checkEnvironment(
            EnvironmentId environment, EnvironmentDocument document) {
        if (!document.environment().equals(environment)) {
            return Result.fail(
                    ErrorKind.BAD_REQUEST,
                    "document: $.environment: expected "
                            + environment
                            + ", found "
                            + document.environment());
        }
        return Result.of(document);
    }

    /**
     * Explains a failed write: a reply may have been lost after the write took effect, so the store
     * is read again before a conflict is reported.
     */
    private CompletableFuture<Result<Revision>> resolveFailedWrite(
            EnvironmentId environment, Stage stage, Failure f, String text, Revision expected) {
        return get(environment, stage)
                .thenApply(
                        r ->
                                r.fold(
                                        g -> Result.fail(f),
                                        d -> compareWithStored(f, d, text, expected)));
    }

    private static Result<Revision> compareWithStored(
            Failure f, StoredDocument found, String text, Revision expected) {
        boolean isOurs =
                f.kind() != ErrorKind.CONFLICT
                        && found.text().equals(text)
                        && found.revision().equals(expected.next());
        if (isOurs) {
            return Result.of(found.revision());
        }
        if (f.kind() == ErrorKind.CONFLICT) {
            return Result.fail(
                    ErrorKind.CONFLICT,
                    "expected revision " + expected + ", current revision is " + found.revision());
        }
        return Result.fail(f);
    }

    private static <T> CompletableFuture<Result<T>> completed(Result<T> result) {
        return CompletableFuture.completedFuture(result);
    }

    /** The stored value. */
    private record Value(String text) {}
}
