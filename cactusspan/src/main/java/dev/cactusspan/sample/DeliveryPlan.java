package dev.cactusspan.sample;

import java.util.List;

/** What to do for a trainer that requests the delivery after the one that it holds. */
public sealed interface DeliveryPlan {

    /**
     * Send the last delivery again.
     *
     * @param body the same bytes as before
     */
    record Repeat(byte[] body) implements DeliveryPlan {}

    /**
     * Write the ledger. After the write, send the new delivery or, if the last one was voided, plan
     * again.
     *
     * @param ledger the ledger to write
     * @param samples samples of the new delivery, empty if the last delivery is voided
     */
    record Write(StepLedger ledger, List<Sample> samples) implements DeliveryPlan {}

    /** Wait until samples are ready. */
    record Wait() implements DeliveryPlan {}

    /** All samples are delivered and confirmed by the trainer. */
    record Complete() implements DeliveryPlan {}

    /**
     * The trainer's delivery number matches neither the last delivery nor the one before.
     *
     * @param detail one human-readable line
     */
    record Mismatch(String detail) implements DeliveryPlan {}
}
