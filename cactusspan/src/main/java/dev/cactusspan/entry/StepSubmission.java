package dev.cactusspan.entry;

import dev.cactusspan.config.EnvironmentDocument;
import dev.cactusspan.config.KeyHash;
import dev.cactusspan.result.Result;
import dev.cactusspan.sample.StepLedger;
import dev.cactusspan.sample.StepSpec;
import java.util.function.Consumer;

/**
 * A step as a trainer submitted it.
 *
 * @param lane lane of the trainer
 * @param trainer the trainer as declared in the environment document
 * @param keyHash hash of the key that the step was submitted under
 * @param spec the step
 * @param reply receives the step's ledger
 */
record StepSubmission(
        Lane lane,
        EnvironmentDocument.Trainer trainer,
        KeyHash keyHash,
        StepSpec spec,
        Consumer<Result<StepLedger>> reply) {

    boolean isSameStep(StepSubmission other) {
        return lane.equals(other.lane) && spec.equals(other.spec);
    }
}
