package dev.cactusspan.entry;

import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.sample.StepLedger;
import dev.cactusspan.sample.StepSpec;
import dev.cactusspan.text.JsonText;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;

/**
 * Writes the ledger of a submitted step, which is new or taken over from another entry. Load
 * pattern: trainers submit a step again while the reply to its first submission is on its way. A
 * lane opens one step at a time: submissions of the same step share its outcome, those of another
 * step wait for it. All methods are called on the executor's thread.
 */
final class StepOpener {
    private final EnvironmentId mEnvironment;
    private final String mOwner;
    private final KeyValueService mKeyValues;
    private final Executor mThread;
    private final Listener mListener;
    private final Map<Lane, List<StepSubmission>> mOpen = new HashMap<>();

    StepOpener(
            EnvironmentId environment,
            String owner,
            KeyValueService keyValues,
            Executor thread,
            Listener listener) {
        mEnvironment = environment;
        mOwner = owner;
        mKeyValues = keyValues;
        mThread = thread;
        mListener = listener;
    }

    /** Receives the steps that were opened. */
    interface Listener {
        /** Called once for each opened step, with the latest submission of it. */
        void onOpened(StepSubmission submission, Opening opening);
    }

    static String key(EnvironmentId environment, Lane lane) {
        return "steps/" + environment + "/" + lane.trainer() + "/" + lane.number();
    }

    /** Opens a step for this entry and replies with the written ledger, on the executor. */
    void open(StepSubmission submission) {
        List<StepSubmission> submissions = mOpen.get(submission.lane());
        if (submissions != null) {
            submissions.add(submission);
            return;
        }
        mOpen.put(submission.lane(), new ArrayList<>(List.of(submission)));
        FutureResults.deliver(
                mKeyValues.get(key(mEnvironment, submission.lane())),
                mThread,
                r ->
                        r.flatMap(entry -> opening(entry, submission.spec()))
                                .fold(
                                        failure -> complete(submission, Result.fail(failure)),
                                        opening -> write(submission, opening)));
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

    private Void write(StepSubmission submission, Opening opening) {
        byte[] value = JsonText.write(opening.ledger());
        String key = key(mEnvironment, submission.lane());
        FutureResults.deliver(
                mKeyValues.compareAndSwap(key, opening.version(), value),
                mThread,
                r ->
                        complete(
                                submission,
                                r.map(version -> new Opening(version, opening.ledger()))));
        return null;
    }

    private Void complete(StepSubmission first, Result<Opening> result) {
        List<StepSubmission> submissions = mOpen.remove(first.lane());
        List<StepSubmission> sharing = submissions.stream().filter(first::isSameStep).toList();
        if (result.isOk()) {
            mListener.onOpened(sharing.get(sharing.size() - 1), result.get());
        }
        // A task each, so that a reply that fails keeps no other from its trainer.
        sharing.forEach(s -> mThread.execute(() -> s.reply().accept(result.map(Opening::ledger))));
        submissions.stream().filter(s -> !first.isSameStep(s)).forEach(this::open);
        return null;
    }

    /**
     * A ledger and its version in the key-value service.
     *
     * @param version the version
     * @param ledger the ledger
     */
    record Opening(long version, StepLedger ledger) {}
}
