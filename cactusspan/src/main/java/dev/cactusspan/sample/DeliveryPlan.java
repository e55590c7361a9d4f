package dev.cactusspan.sample;

import java.util.List;

/** What to do for a trainer that asks for the delivery after the one it holds. */
public sealed interface DeliveryPlan {

    /**
     * Hand out the last delivery again.
     *
     * @param body the same bytes as before
     */
    record Repeat(byte[] body) implements DeliveryPlan {}

    /**
     * Write the ledger; once it is written, go on with the plan that follows.
     *
     * @param ledger the ledger to write
     * @param samples samples of the new delivery, empty if the last one is voided
     */
    record Write(StepLedger ledger, List<Sample> samples) implements DeliveryPlan {}

    /** Wait until samples are ready. */
    record Wait() implements DeliveryPlan {}

    /** All samples are delivered, and the trainer holds them. */
    record Complete() implements DeliveryPlan {}

    /**
     * The trainer's number fits neither the last delivery nor the one before.
     *
     * @param detail one line for a person
     */
    record Mismatch(String detail) implements DeliveryPlan {}
}
