package dev.cactusspan.entry;

import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.sample.StepLedger;
import dev.cactusspan.sample.StepSpec;
import dev.cactusspan.text.JsonText;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** Writes the ledger of a submitted step, which is new or taken over from another entry. */
final class StepOpener {
    private final EnvironmentId mEnvironment;
    private final String mOwner;
    private final KeyValueService mKeyValues;
    private final Executor mThread;

    StepOpener(
            EnvironmentId environment, String owner, KeyValueService keyValues, Executor thread) {
        mEnvironment = environment;
        mOwner = owner;
        mKeyValues = keyValues;
        mThread = thread;
    }

    static String key(EnvironmentId environment, Lane lane) {
        return "steps/" + environment + "/" + lane.trainer() + "/" + lane.number();
    }

    /**
     * Opens a step for this entry and passes the written ledger to the callback, on the executor.
     */
    void open(Lane lane, StepSpec spec, Consumer<Result<Opening>> reply) {
        FutureResults.deliver(
                mKeyValues.get(key(mEnvironment, lane)),
                mThread,
                r ->
                        r.flatMap(entry -> opening(entry, spec))
                                .fold(
                                        failure -> {
                                            reply.accept(Result.fail(failure));
                                            return null;
                                        },
                                        opening -> {
                                            write(lane, opening, reply);
                                            return null;
                                        }));
    }

    /** Returns the ledger to write, with the stored version that it replaces. */
    private Result<Opening> opening(Optional<KeyValueService.Entry> entry, StepSpec spec) {
        if (entry.isEmpty()) {
            return Result.of(new Opening(0, StepLedger.start(spec, mOwner, 0)));
        }
        long version = entry.get().version();
        return JsonText.read(entry.get().value(), StepLedger.class)
                .flatMap(ledger -> nextLedger(ledger, spec))
                .map(ledger -> new Opening(version, ledger));
    }

    private Result<StepLedger> nextLedger(StepLedger ledger, StepSpec spec) {
        if (ledger.step() == spec.step() && ledger.digest().equals(spec.digest())) {
            return Result.of(ledger.withOwner(mOwner));
        }
        if (ledger.step() >= spec.step()) {
            return Result.fail(
                    ErrorKind.CONFLICT,
                    "step " + ledger.step() + " is under way; a new step needs a higher number");
        }
        if (!ledger.isWhole()) {
            return Result.fail(
                    ErrorKind.CONFLICT, "step " + ledger.step() + " is not delivered whole");
        }
        return Result.of(StepLedger.start(spec, mOwner, ledger.delivery()));
    }

    private void write(Lane lane, Opening opening, Consumer<Result<Opening>> reply) {
        byte[] value = JsonText.write(opening.ledger());
        FutureResults.deliver(
                mKeyValues.compareAndSwap(key(mEnvironment, lane), opening.version(), value),
                mThread,
                r -> reply.accept(r.map(version -> new Opening(version, opening.ledger()))));
    }

    /**
     * A ledger and its version in the key-value service.
     *
     * @param version the version
     * @param ledger the ledger
     */
    record Opening(long version, StepLedger ledger) {}
}
