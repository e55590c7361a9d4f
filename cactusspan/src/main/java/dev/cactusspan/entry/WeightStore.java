package dev.cactusspan.entry;

import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import dev.cactusspan.weight.WeightVersions;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Raises the desired weight versions in the key-value service. */
final class WeightStore {
    private static final int MAX_ATTEMPTS = 5;

    private final KeyValueService mKeyValues;
    private final EnvironmentId mEnvironment;

    WeightStore(KeyValueService keyValues, EnvironmentId environment) {
        mKeyValues = keyValues;
        mEnvironment = environment;
    }

    static String key(EnvironmentId environment) {
        return "weights/" + environment;
    }

    /** Raises the desired versions of a model and returns the stored entry. */
    CompletableFuture<Result<KeyValueService.Entry>> raise(
            ServiceId model, WeightVersion staged, WeightVersion active) {
        return raise(model, staged, active, 1);
    }

    private CompletableFuture<Result<KeyValueService.Entry>> raise(
            ServiceId model, WeightVersion staged, WeightVersion active, int attempt) {
        return mKeyValues
                .get(key(mEnvironment))
                .thenCompose(
                        r ->
                                r.fold(
                                        f -> completed(Result.fail(f)),
                                        e -> write(e, model, staged, active, attempt)));
    }

    private CompletableFuture<Result<KeyValueService.Entry>> write(
            Optional<KeyValueService.Entry> found,
            ServiceId model,
            WeightVersion staged,
            WeightVersion active,
            int attempt) {
        WeightVersions storedWeights =
                found.map(
                                e ->
                                        JsonText.read(e.value(), WeightVersions.class)
                                                .getOrElse(WeightVersions.EMPTY))
                        .orElse(WeightVersions.EMPTY);
        WeightVersions raisedWeights = storedWeights.raise(model, staged, active);
        if (found.isPresent() && raisedWeights.equals(storedWeights)) {
            return completed(Result.of(found.get()));
        }
        long expected = found.map(KeyValueService.Entry::version).orElse(0L);
        byte[] value = JsonText.write(raisedWeights);
        return mKeyValues
                .compareAndSwap(key(mEnvironment), expected, value)
                .thenCompose(
                        r ->
                                r.fold(
                                        f ->
                                                isRepeatable(f.kind(), attempt)
                                                        ? raise(model, staged, active, attempt + 1)
                                                        : completed(Result.fail(f)),
                                        v ->
                                                completed(
                                                        Result.of(
                                                                new KeyValueService.Entry(
                                                                        v, value)))));
    }

    private static boolean isRepeatable(ErrorKind kind, int attempt) {
        return kind == ErrorKind.CONFLICT && attempt < MAX_ATTEMPTS;
    }

    private static <T> CompletableFuture<Result<T>> completed(Result<T> result) {
        return CompletableFuture.completedFuture(result);
    }
}
