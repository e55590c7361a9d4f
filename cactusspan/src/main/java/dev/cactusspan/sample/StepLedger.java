package dev.cactusspan.sample;

import java.util.BitSet;
import java.util.List;

/**
 * The durable state of a trainer's step. A delivery exists only after its number and slots are
 * written here.
 *
 * @param step number of the step
 * @param digest digest of the step's specification
 * @param total number of slots of the step
 * @param owner identifies the entry process, including its start, that holds the step
 * @param delivery number of the last delivery; numbers increase across all steps of the trainer
 * @param held number of the delivery that the trainer held when the last delivery was made
 * @param pending slots of the last delivery, empty if it was voided
 * @param delivered bit set of the delivered slots, including those of the last delivery
 */
public record StepLedger(
        long step,
        String digest,
        int total,
        String owner,
        long delivery,
        long held,
        List<Integer> pending,
        byte[] delivered) {

    /**
     * Creates the ledger of a new step.
     *
     * @param spec the step
     * @param owner identifies the entry process and its start
     * @param delivery number of the trainer's last delivery before this step
     * @return the ledger without deliveries
     */
    public static StepLedger start(StepSpec spec, String owner, long delivery) {
        int total = spec.slots().size();
        return new StepLedger(
                spec.step(),
                spec.digest(),
                total,
                owner,
                delivery,
                delivery,
                List.of(),
                new byte[0]);
    }

    // Operations

    /**
     * Returns this ledger with a new delivery.
     *
     * @param heldNumber number of the delivery that the trainer holds
     * @param slots slots of the delivery
     * @return the ledger
     */
    public StepLedger withDelivery(long heldNumber, List<Integer> slots) {
        BitSet bits = deliveredSlots();
        slots.forEach(bits::set);
        return with(owner, delivery + 1, heldNumber, slots, bits);
    }

    /**
     * Returns this ledger with the last delivery voided, so that its slots are open again. Its
     * number is not reused.
     *
     * @return the ledger
     */
    public StepLedger withLastDeliveryVoided() {
        BitSet bits = deliveredSlots();
        pending.forEach(bits::clear);
        return with(owner, delivery, held, List.of(), bits);
    }

    /**
     * Returns this ledger with another owner.
     *
     * @param newOwner identifies the entry process and its start
     * @return the ledger
     */
    public StepLedger withOwner(String newOwner) {
        return with(newOwner, delivery, held, pending, deliveredSlots());
    }

    private StepLedger with(
            String newOwner, long number, long heldNumber, List<Integer> slots, BitSet bits) {
        return new StepLedger(
                step,
                digest,
                total,
                newOwner,
                number,
                heldNumber,
                List.copyOf(slots),
                bits.toByteArray());
    }

    // Accessors

    /**
     * Returns the delivered slots.
     *
     * @return a copy of the bit set
     */
    public BitSet deliveredSlots() {
        return BitSet.valueOf(delivered);
    }

    /**
     * Tells whether all slots are delivered.
     *
     * @return true if the step is complete
     */
    public boolean isWhole() {
        return deliveredSlots().cardinality() == total;
    }
}
